"""Nodes through which requests reach targets while this one can't."""

import random
import types
from collections.abc import Callable, Mapping, MutableMapping

import attrs
from aiohttp import ClientResponse
from multidict import CIMultiDict
from yarl import URL

from mimosaworks.body_framing import Framing, read_framing
from mimosaworks.clock import now_s
from mimosaworks.dispatch import CallOutcome
from mimosaworks.node.attempt_error import AttemptError
from mimosaworks.node.target_paths import TargetPaths
from mimosaworks.wire import NodeRow

# Where a relay sends a request, host:port of the target.
RELAY_TO = 'Mimosa-Relay-To'
# In each answer of a relay: what it did.
RELAYED = 'Mimosa-Relayed'
# What ended the target's answer on the way to the relay.
RELAYED_FRAMING = 'Mimosa-Relayed-Framing'
ANSWERED = 'answered'
UNREACHED = 'unreached'
REFUSED = 'refused'
RELAY_PREFIX = '/relay'
# Some heartbeats: by then a node that is gone has been reported.
FAILED_RELAY_PAUSE_S = 2.0
_UNSENT_OUTCOMES = types.MappingProxyType({
    REFUSED: CallOutcome.NOT_SENT,
    UNREACHED: CallOutcome.UNREACHABLE,
})


@attrs.define(eq=False)
class RelayPeers:
    """Chooses the node that relays a request.

    list_members returns the rows of all nodes by name.
    """

    name: str
    data_centre: str
    paths: TargetPaths
    list_members: Callable[[], Mapping[str, NodeRow]]
    _failed_until_s: dict[str, float] = attrs.field(factory=dict)

    def find_relay(self) -> str:
        """Return the peer address of a relay, empty to send without one.

        Nodes of the own data centre go first. Earlier releases are left out:
        what they relay looks complete also where the target broke it off.
        """
        if not self.paths.is_cut_off:
            return ''
        now = now_s()
        self._failed_until_s = {
            address: until_s
            for address, until_s in self._failed_until_s.items()
            if until_s > now
        }
        rows = [
            row
            for row in self.list_members().values()
            if row.relays
            and row.judges_ends
            and row.name != self.name
            and row.peer_address not in self._failed_until_s
        ]
        near = [row for row in rows if row.data_centre == self.data_centre]
        chosen = near or rows
        return random.choice(chosen).peer_address if chosen else ''

    def record_failure(self, address: str) -> None:
        """Leave out a relay that could not be reached, for a while."""
        self._failed_until_s[address] = now_s() + FAILED_RELAY_PAUSE_S


def make_request_url(path: str, address: str, relay: str) -> URL:
    """Return where a request with this raw path is sent.

    The relay is a node's peer address, empty to send to the target itself.
    """
    if relay:
        return URL(f'http://{relay}{RELAY_PREFIX}{path}', encoded=True)
    return URL(f'http://{address}{path}', encoded=True)


def check_relay(resp: ClientResponse) -> None:
    """Raise AttemptError unless the relay passed on a target's answer."""
    outcome = resp.headers.get(RELAYED, '')
    if outcome == ANSWERED:
        return
    resp.close()
    address = resp.url.authority
    if outcome not in _UNSENT_OUTCOMES:
        raise AttemptError(CallOutcome.BROKEN, f'{address} is no relay')
    raise AttemptError(
        _UNSENT_OUTCOMES[outcome],
        f'the relay {address} did not send the request: {outcome}',
        is_not_run=True,
    )


def mark_answered(
    headers: MutableMapping[str, str], resp: ClientResponse
) -> None:
    """Add the relay's own fields to the head of a target's answer."""
    headers[RELAYED] = ANSWERED
    headers[RELAYED_FRAMING] = read_framing(resp).value


def read_target_framing(resp: ClientResponse, *, is_relayed: bool) -> Framing:
    """Return what ends an answer on its way from the target.

    Relays of earlier releases do not tell.
    """
    told = resp.headers.get(RELAYED_FRAMING)
    if is_relayed and told == Framing.CONNECTION.value:
        return Framing.CONNECTION
    return read_framing(resp)


def without_relay_field(headers: Mapping[str, str]) -> CIMultiDict[str]:
    """Return the fields of an answer without the relay's own ones."""
    kept = CIMultiDict(headers)
    kept.popall(RELAYED, None)
    kept.popall(RELAYED_FRAMING, None)
    return kept

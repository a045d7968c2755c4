"""Judges the ends of answers that only the end of their connection shows."""

import asyncio
import enum
from collections.abc import Callable, Mapping

import attrs

from mimosaworks.clock import now_s
from mimosaworks.deployment import TargetEntry, TargetState
from mimosaworks.node.end_errors import (
    ExpiredAnswerError,
    LostTargetError,
    ReplacedTargetError,
    UnknownEndError,
)
from mimosaworks.node.shared_probes import SharedProbes
from mimosaworks.node.target_identity import TargetIdentities
from mimosaworks.node.target_paths import PROBE_TIMEOUT_S, reaches
from mimosaworks.node.witness import Sign
from mimosaworks.node.witnesses import WatchedAnswer, Witnesses

# A target may reach its time limit by timers and clocks that run a bit fast, or
# stop a bit before it.
LIMIT_MARGIN_S = 0.1
LIMIT_MARGIN_SHARE = 0.2
# A node reads the notice of a target that leaves a bit later than it was given:
# an interval of reading the targets and one of heartbeats.
NOTICE_MARGIN_S = 1.0
# A process that exits closes its connections and its listener one by one.
EXIT_S = 0.02
# An end is judged EXIT_S and a connection later: one that is read after that is
# judged when the time is over, however short that was.
MIN_LIMIT_MARGIN_S = 2 * EXIT_S
# Two tries to connect take less; a target that starts again takes longer. The
# questions for its report and its entry have time limits of their own.
MAX_CHECK_S = 1.5


class EndProof(enum.Enum):
    """What confirmed the end of an answer without framing."""

    NONE = 'none'
    PROBE = 'probe'
    REPORT = 'report'
    WITNESS = 'witness'


@attrs.frozen
class SentRequest:
    """A request as its target got it; times are on this process's clock.

    The target counts deadline_s from its receipt, so a bit later. incarnation
    is that of the target when it was chosen, 0 if it is not known;
    reported_incarnation the one that it reported before the request was sent.
    """

    target: str
    address: str
    incarnation: int
    deadline_s: float
    reported_incarnation: int = attrs.field(default=0, kw_only=True)
    sent_s: float = attrs.field(factory=now_s)

    def is_limit_reached(self) -> bool:
        """Return whether the target may have stopped at its time limit."""
        share_s = (self.deadline_s - self.sent_s) * LIMIT_MARGIN_SHARE
        margin_s = min(LIMIT_MARGIN_S, max(share_s, MIN_LIMIT_MARGIN_S))
        return now_s() >= self.deadline_s - margin_s


@attrs.define(eq=False)
class EndJudge:
    """Finds out whether something else than its answer ended a connection.

    A process that exits closes its connections as the end of an answer without
    framing does. find_targets returns the latest view of the targets,
    find_read_targets those that this node has read itself, earliest_s the
    earliest time at which an end that is read now may have come. witnesses
    watch the answers, identities tell which process a target is.
    """

    find_targets: Callable[[], Mapping[str, TargetEntry]] = dict
    find_read_targets: Callable[[], Mapping[str, TargetEntry]] = dict
    earliest_s: Callable[[], float] = now_s
    witnesses: Witnesses = attrs.field(factory=Witnesses)
    identities: TargetIdentities | None = None
    _connects: SharedProbes[str, bool | None] = attrs.field(
        factory=lambda: SharedProbes(_accepts)
    )

    def begin(
        self, target: str, address: str, incarnation: int, deadline_s: float
    ) -> SentRequest:
        """Return a request that is sent from now on."""
        reported = 0
        if self.identities is not None:
            reported = self.identities.last_reported(target)
        return SentRequest(
            target,
            address,
            incarnation,
            deadline_s,
            reported_incarnation=reported,
        )

    async def check_end(
        self, sent: SentRequest, answer: WatchedAnswer | None = None
    ) -> EndProof:
        """Return if nothing else explains the end of an answer, right after it.

        The result tells what shows that the target is the same one: its
        witness, its report, or, without these, connections that it accepted
        in time. Raises ExpiredAnswerError, UnknownEndError or LostTargetError.
        """
        ended_s = self.earliest_s()
        self._check_time(sent)
        await asyncio.sleep(EXIT_S)
        await self._check_accepts(sent)
        is_late = now_s() - ended_s > MAX_CHECK_S
        # The end of the witness has arrived before a later process accepts.
        sign = Sign.NONE
        if answer is not None:
            sign = await self._read_witness(sent, answer)
        if self._is_replaced(sent):
            return await self._judge_replaced(sent)
        is_open = sign is Sign.OPEN
        if is_open and answer and answer.is_witness_early:
            return EndProof.WITNESS
        if await self._is_same_by_report(sent):
            return EndProof.REPORT
        if is_late and not is_open:
            raise _unknown()
        await self._check_entry(sent)
        return EndProof.WITNESS if is_open else EndProof.PROBE

    async def _read_witness(
        self, sent: SentRequest, answer: WatchedAnswer
    ) -> Sign:
        """Return what the witness of an answer tells.

        A target that has closed it is asked for its report. Raises
        LostTargetError, or UnknownEndError where the target goes on, as one
        does that needs the places of idle connections, or that ends in steps;
        and where it has no report and closed the witness before the answer.
        """
        try:
            goes_on = (
                answer.has_lost_witness()
                and await self._is_same_by_report(sent)
            )
        except ReplacedTargetError:
            _check_sign(await answer.read_sign(), is_unknown=False)
            raise
        sign = await answer.read_sign()
        _check_sign(sign, is_unknown=goes_on or answer.has_outlasted_witness())
        return sign

    async def _judge_replaced(self, sent: SentRequest) -> EndProof:
        """Return if the later process had reported before the send.

        Raises ReplacedTargetError if it had not, or is not there.
        """
        reported = attrs.evolve(sent, incarnation=sent.reported_incarnation)
        if await self._is_same_by_report(reported):
            return EndProof.REPORT
        raise _replaced('the target has started again')

    async def _check_accepts(self, sent: SentRequest) -> None:
        """Raise an error unless the target accepts a connection."""
        is_there = await self._connects.ask(sent.address)
        if is_there is None:
            raise _unknown()
        if not is_there:
            raise _lost('the target accepts no other')

    async def _is_same_by_report(self, sent: SentRequest) -> bool:
        """Return whether the target shows that it is the one that answered.

        Raises LostTargetError if it shows that it is not.
        """
        if self.identities is None or not sent.incarnation:
            return False
        identity = await self.identities.ask_report(sent.target, sent.address)
        sign = identity.compare(sent.incarnation, sent.reported_incarnation)
        if identity.is_other:
            raise _lost('another target has its address')
        if sign is Sign.ENDED:
            raise _replaced('the target reports that it has started again')
        return sign is Sign.OPEN

    async def _check_entry(self, sent: SentRequest) -> None:
        """Raise an error if a later entry, or no connection, shows an end."""
        if self.identities is None or not sent.incarnation:
            return
        identity = await self.identities.ask_entry(sent.target)
        if identity.compare(sent.incarnation) is Sign.ENDED:
            raise _replaced('the target has registered again')
        await self._check_accepts(sent)

    def _check_time(self, sent: SentRequest) -> None:
        """Raise ExpiredAnswerError if the time of an answer is over."""
        if sent.is_limit_reached():
            raise ExpiredAnswerError(
                'the connection was closed at the time limit of the request'
            )
        for targets in (self.find_targets(), self.find_read_targets()):
            entry = targets.get(sent.target)
            if entry is not None and _is_notice_over(entry, sent):
                raise ExpiredAnswerError(
                    'the connection was closed when the notice of the target'
                    ' ended'
                )

    def _is_replaced(self, sent: SentRequest) -> bool:
        """Return whether a later process is known at the target's address.

        A target without an entry may serve on for a while.
        """
        if not sent.incarnation:
            return False
        targets = self.find_targets()
        entry = targets.get(sent.target)
        if entry is not None:
            return entry.incarnation > sent.incarnation
        return any(
            other.address == sent.address
            and other.incarnation > sent.incarnation
            for other in targets.values()
        )


def _check_sign(sign: Sign, *, is_unknown: bool) -> None:
    """Raise an error if a witness has ended.

    is_unknown: the target may go on all the same.
    """
    if sign is not Sign.ENDED:
        return
    if is_unknown:
        raise UnknownEndError(
            'the connection was closed, and an idle one to the target'
        )
    raise _lost('an idle one to the target ended with it')


def _lost(reason: str) -> LostTargetError:
    return LostTargetError(f'the connection was closed, and {reason}')


def _replaced(reason: str) -> ReplacedTargetError:
    return ReplacedTargetError(f'the connection was closed, and {reason}')


def _unknown() -> UnknownEndError:
    return UnknownEndError(
        'the connection was closed, and the target does not reply'
        ' before it may have started again'
    )


def _is_notice_over(entry: TargetEntry, sent: SentRequest) -> bool:
    """Return whether the target ends now, or has ended, at short notice."""
    is_leaving = entry.state is TargetState.DRAINING
    is_same = not sent.incarnation or entry.incarnation in {
        sent.incarnation,
        sent.reported_incarnation,
    }
    is_over = now_s() >= entry.leaves_at_s - NOTICE_MARGIN_S
    return is_leaving and is_same and is_over


async def _accepts(address: str) -> bool | None:
    """Return whether an address accepts a connection, at the second try.

    It is tried again only if there was no reply, as when a packet was lost or
    this process was paused. None: nothing was learned.
    """
    started_s = now_s()
    is_there = await reaches(address)
    if is_there is not None or now_s() - started_s < PROBE_TIMEOUT_S:
        return is_there
    return await reaches(address)

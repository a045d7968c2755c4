"""Which answers of a soak's targets reached the nodes."""

import functools
import re
import time

import attrs

from standins.agency.world import AgencyWorld

HEAD_ID = re.compile(rb'\r\nX-Request-Id: ([^\r\n]+)\r\n')


@attrs.define(eq=False)
class SoakHeads:
    """Notes the heads that the links of targets have handed over.

    A target does not see what became of its answers: a link that is hurt loses
    them, and a node that has closed its connection gets no more of them.
    """

    _passed_s: dict[tuple[str, str], float] = attrs.field(factory=dict)

    def watch(self, world: AgencyWorld) -> None:
        """Note what the links of all present targets hand over."""
        for name, proxy in world.proxies.items():
            proxy.on_passed = functools.partial(self._read, name)

    def has_passed(self, target: str, request_id: str, since_s: float) -> bool:
        """Return whether an answer to a request was handed over since then."""
        return self._passed_s.get((target, request_id), -1) >= since_s

    def _read(self, target: str, chunk: bytes) -> None:
        now = time.monotonic()
        for request_id in HEAD_ID.findall(chunk):
            self._passed_s[target, request_id.decode()] = now

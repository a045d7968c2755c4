"""What is told of an attempt while its answer is relayed."""

from collections.abc import Callable

import attrs

from mimosaworks.clock import now_s


@attrs.frozen
class ProgressHooks:
    """What is called while an answer is relayed.

    on_first_bytes is called with the seconds from the send to the first bytes
    of the answer, on_stream_begun before the caller gets the first part of a
    stream, on_stream_bytes whenever bytes of a stream arrive.
    """

    on_first_bytes: Callable[[float], None]
    on_stream_begun: Callable[[], None]
    on_stream_bytes: Callable[[], None]


@attrs.frozen
class AttemptProgress:
    """The hooks of one attempt; sent_s is when it was sent.

    record_bytes is called whenever bytes of the answer arrive.
    """

    hooks: ProgressHooks
    record_bytes: Callable[[], None]
    sent_s: float = attrs.field(factory=now_s)

    def record_first_bytes(self) -> None:
        """Report that the first bytes of the answer were received."""
        self.hooks.on_first_bytes(now_s() - self.sent_s)

"""What a stand-in knows of one request id."""

import attrs


@attrs.define
class RunRecord:
    """Runs of a request id, with the headers and query of the last one.

    runs counts requests taken to run, completed those answered in full and
    cancelled those given up; tokens counts generated tokens, sent those of
    streams that were sent.
    """

    runs: int = 0
    completed: int = 0
    cancelled: int = 0
    tokens: int = 0
    sent: int = 0
    headers: dict[str, str] = attrs.Factory(dict)
    query: str = ''

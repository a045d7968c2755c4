"""Records which requests a stand-in has run."""

from pathlib import Path
from typing import Any

import attrs
from aiohttp import web

from standins.run_record import RunRecord


@attrs.define
class Recorder:
    """Keeps the runs by request id, for oracles.

    The journal is a file that gets each run's request id as a line and so
    outlives the process; an empty path means none.
    """

    journal: str = ''
    runs: dict[str, RunRecord] = attrs.Factory(dict)

    def record(self, request_id: str, req: web.Request) -> RunRecord:
        """Count one run and return its request's record."""
        if self.journal:
            with Path(self.journal).open('a') as journal:
                journal.write(f'{request_id}\n')
        record = self.runs.setdefault(request_id, RunRecord())
        record.runs += 1
        record.headers = dict(req.headers)
        record.query = req.rel_url.raw_query_string
        return record

    def to_dict(self) -> dict[str, Any]:
        """Return the records by request id, ready for JSON."""
        return {
            request_id: attrs.asdict(record)
            for request_id, record in self.runs.items()
        }

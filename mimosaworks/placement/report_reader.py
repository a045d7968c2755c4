"""Reads targets' reports."""

import json

import aiohttp
import attrs

from mimosaworks.bounded_answers import (
    REPORT_BYTES,
    OversizedError,
    log_cut,
    read_bounded,
)
from mimosaworks.placement.report import Report, report_from_dict

REPORT_TIMEOUT_S = 1.0


@attrs.define
class ReportReader:
    """HTTP client that fetches reports from engines."""

    session: aiohttp.ClientSession

    async def read_report(self, url: str) -> Report | None:
        """Return the report of the engine at a base URL, None on failure."""
        timeout = aiohttp.ClientTimeout(total=REPORT_TIMEOUT_S)
        try:
            async with self.session.get(
                f'{url}/report', timeout=timeout
            ) as resp:
                resp.raise_for_status()
                content = await read_bounded(resp, REPORT_BYTES)
                return report_from_dict(json.loads(content))
        except OversizedError as exc:
            log_cut(url, exc)
            return None
        except (TimeoutError, aiohttp.ClientError, ValueError):
            return None

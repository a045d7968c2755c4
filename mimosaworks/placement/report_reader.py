"""Reads targets' reports."""

import aiohttp
import attrs

from mimosaworks.placement.report import Report, report_from_dict

REPORT_TIMEOUT_S = 1.0


@attrs.define
class ReportReader:
    """Asks engines for their reports."""

    session: aiohttp.ClientSession

    async def read(self, url: str) -> Report | None:
        """Return the report of the engine at a base URL; None without."""
        limit = aiohttp.ClientTimeout(total=REPORT_TIMEOUT_S)
        try:
            async with self.session.get(f'{url}/report', timeout=limit) as resp:
                resp.raise_for_status()
                return report_from_dict(await resp.json())
        except (TimeoutError, aiohttp.ClientError, ValueError):
            return None

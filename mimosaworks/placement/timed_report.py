"""The last report of a target."""

import attrs

from mimosaworks.placement.report import Report


@attrs.frozen
class TimedReport:
    """A report and the time (seconds, own clock) of its request."""

    report: Report
    requested_s: float

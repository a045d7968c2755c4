"""The last report of a target."""

import attrs

from mimosaworks.placement.report import Report


@attrs.frozen
class TargetView:
    """A report and when (seconds, own clock) it was asked for."""

    report: Report
    asked_s: float

"""Checks of targets."""

from collections.abc import Iterator

from mimosaworks.admin.checks.common import shared_faults
from mimosaworks.admin.fault import Fault
from mimosaworks.entities import Catalogue

KIND = 'target'


def target_faults(catalogue: Catalogue) -> Iterator[Fault]:
    """Yield the faults of targets."""
    targets = catalogue.target.values()
    for target in targets:
        if target.kind == 'engine' and target.memory_bytes <= 0:
            yield Fault(
                KIND,
                target.name,
                'memory_bytes',
                'must be above 0 for an engine',
            )
    # The memory of one engine under two names would be counted twice.
    urls = ((one.name, one.url.rstrip('/')) for one in targets)
    yield from shared_faults(KIND, 'url', urls)

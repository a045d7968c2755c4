"""What became of a change."""

import attrs

from mimosaworks.admin.fault import Fault


@attrs.frozen
class Outcome:
    """A stored version, and whether it is in force at every member."""

    version: int
    is_in_force: bool
    warnings: tuple[Fault, ...] = ()

    @property
    def state(self) -> str:
        """Either in-force or pending."""
        return 'in-force' if self.is_in_force else 'pending'

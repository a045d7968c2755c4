"""One step of a plan."""

import attrs

from mimosaworks.entities import Change


@attrs.frozen
class Difference:
    """An attribute's content before and after a step."""

    attribute: str
    before: object
    after: object

    def __str__(self) -> str:
        """Return the difference as text."""
        return ' '.join((
            self.attribute,
            repr(self.before),
            '->',
            repr(self.after),
        ))


@attrs.frozen
class PlanStep:
    """A change with its action: create, update or delete."""

    action: str
    change: Change
    differences: tuple[Difference, ...] = ()

    def __str__(self) -> str:
        """Return the step as one line of text."""
        line = ' '.join((self.action, self.change.kind, self.change.name))
        if not self.differences:
            return line
        listed = ', '.join(map(str, self.differences))
        return f'{line}: {listed}'

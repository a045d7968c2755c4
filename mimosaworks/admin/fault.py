"""One fault found in a change of the configuration."""

import attrs


@attrs.frozen
class Fault:
    """Names the entity, its attribute and what is wrong with it.

    attribute is empty when the entity as a whole is meant. missing is the
    name of an entity that is referred to but absent. A warning is reported
    but does not refuse the change.
    """

    kind: str
    name: str
    attribute: str
    reason: str
    is_warning: bool = False
    missing: str = ''

    def __str__(self) -> str:
        """Return the fault as one line of text."""
        named = filter(None, (self.kind, self.name, self.attribute))
        place = ' '.join(named)
        return f'{place}: {self.reason}' if place else self.reason

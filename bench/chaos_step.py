"""A change of what one engine holds."""

import attrs


@attrs.frozen(order=True)
class ChaosStep:
    """What an engine did with a model at a time; killed and read have none."""

    at_s: float
    what: str
    engine: str
    model: str = ''

    def ends(self, other: 'ChaosStep') -> bool:
        """Return whether an earlier step's holding ends with this one."""
        is_about_it = self.model in {other.model, ''}
        is_end = self.what in {'freed', 'killed', 'read'}
        return is_end and is_about_it and self.engine == other.engine

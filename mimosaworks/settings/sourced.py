"""One setting with the place that it was read from."""

import attrs

MASK = '********'


@attrs.frozen
class SourcedSetting:
    """Printed by --print-settings and `mimosactl debug settings`.

    env_var is the environment variable; source is flag, environment or
    default.
    """

    name: str
    env_var: str
    content: str
    source: str
    is_secret: bool = False

    @property
    def shown(self) -> str:
        """The value, or a mask for a secret that is set."""
        return MASK if self.is_secret and self.content else self.content

    def __str__(self) -> str:
        """Return the setting as one line of text."""
        return f'--{self.name}={self.shown} ({self.source}, {self.env_var})'

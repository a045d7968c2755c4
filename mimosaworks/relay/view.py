"""What the frontend needs of the process's membership."""

from typing import Protocol

from mimosaworks.entities import Catalogue


class View(Protocol):
    """The applied configuration and whether it may be acted on."""

    @property
    def catalogue(self) -> Catalogue:
        """The latest configuration that this process has applied."""

    def is_fresh(self) -> bool:
        """Tell whether keyed requests may be served now."""

"""The error of a cell that can't be read."""

from mimosaworks.errors import MimosaError


class CellError(MimosaError):
    """A cell's text is not of the kind that its column holds."""

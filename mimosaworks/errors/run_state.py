"""Whether a refused or failed request can have run on a target."""

import enum


@enum.unique
class RunState(enum.Enum):
    """Value of the Mimosa-Run header of an error answer."""

    NOT_RUN = 'not-run'
    MAY_HAVE_RUN = 'may-have-run'

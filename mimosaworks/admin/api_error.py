"""The error that a client of the administration API raises."""

from mimosaworks.admin.fault import Fault
from mimosaworks.errors import MimosaError


class AdminApiError(MimosaError):
    """A call was refused or not answered.

    code is an ErrorKind's value, empty without an answer. may_have_run tells
    that the change may have been stored all the same.
    """

    def __init__(
        self,
        message: str,
        *,
        code: str = '',
        faults: tuple[Fault, ...] = (),
        may_have_run: bool = False,
    ) -> None:
        super().__init__(message)
        self.code = code
        self.faults = faults
        self.may_have_run = may_have_run

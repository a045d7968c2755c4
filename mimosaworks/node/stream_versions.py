"""The software version that a stream began at, and must stay at.

What two versions of a service's software write does not fit together, and
targets do not check which one began a stream that they resume.
"""

from collections.abc import Callable, Mapping

from mimosaworks.deployment import TargetEntry
from mimosaworks.dispatch import Assignment, CallOutcome
from mimosaworks.node.attempt_error import AttemptError
from mimosaworks.node.call import Call

Targets = Mapping[str, TargetEntry]


def record_begun_version(
    call: Call, assignment: Assignment, find_targets: Callable[[], Targets]
) -> None:
    """Record the version of the target that begins a request's stream.

    It is not known if the target has restarted since the assignment.
    """
    if call.stream_version is not None:
        return
    entry = find_targets().get(assignment.target)
    is_restarted = (
        entry is not None and entry.incarnation != assignment.incarnation
    )
    call.stream_version = '' if is_restarted else assignment.software_version


def check_version(call: Call, assignment: Assignment, targets: Targets) -> None:
    """Raise AttemptError if a target must not resume a request's stream.

    The holder may run a release that knows no software versions, and the
    target may have restarted with another one since the assignment.
    """
    if call.stream_version is None:
        return
    versions = {assignment.software_version}
    entry = targets.get(assignment.target)
    if entry is not None:
        versions.add(entry.software_version)
    if not call.stream_version or versions != {call.stream_version}:
        names = '/'.join(sorted(versions))
        raise AttemptError(
            CallOutcome.NOT_SENT,
            f'{assignment.target} runs software version {names!r}, '
            f'the stream began at {call.stream_version!r}',
            is_not_run=True,
        )

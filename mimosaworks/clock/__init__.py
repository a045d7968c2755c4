"""Clock of a process and the assumed bound on drift."""

from mimosaworks.clock.boottime import DRIFT, now_s

__all__ = ['DRIFT', 'now_s']

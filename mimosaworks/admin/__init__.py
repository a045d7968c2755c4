"""Administration API."""

from mimosaworks.admin.attributes import build_entity, fault_reporter
from mimosaworks.admin.checks import check_catalogue, check_changes
from mimosaworks.admin.fault import Fault

__all__ = [
    'Fault',
    'build_entity',
    'check_catalogue',
    'check_changes',
    'fault_reporter',
]

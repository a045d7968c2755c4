"""Admission of requests: keys, deadlines, routes and fair queues."""

from mimosaworks.admission.credentials import (
    Credentials,
    find_credentials,
    strip_headers,
    strip_query,
)
from mimosaworks.admission.deadline import (
    DEADLINE_HEADER,
    Deadline,
    read_deadline,
)
from mimosaworks.admission.fair_queue import FairQueue, QueueEntry
from mimosaworks.admission.identity import KeyIndex, check_route_access
from mimosaworks.admission.model_call import ModelCall, read_model_call
from mimosaworks.admission.routes import find_route

__all__ = [
    'DEADLINE_HEADER',
    'Credentials',
    'Deadline',
    'FairQueue',
    'KeyIndex',
    'ModelCall',
    'QueueEntry',
    'check_route_access',
    'find_credentials',
    'find_route',
    'read_deadline',
    'read_model_call',
    'strip_headers',
    'strip_query',
]

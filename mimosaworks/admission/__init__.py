"""Admission of requests: keys, deadlines, routes and fair queues."""

from mimosaworks.admission.credentials import (
    Credentials,
    find_credentials,
    strip_credential_headers,
    strip_credential_params,
)
from mimosaworks.admission.deadline import (
    DEADLINE_HEADER,
    Deadline,
    read_deadline,
)
from mimosaworks.admission.fair_queue import FairQueue, QueueEntry
from mimosaworks.admission.identity import KeyIndex, check_route_access
from mimosaworks.admission.model_request import (
    ModelRequest,
    parse_model_request,
)
from mimosaworks.admission.routes import find_route

__all__ = [
    'Credentials',
    'DEADLINE_HEADER',
    'Deadline',
    'FairQueue',
    'KeyIndex',
    'ModelRequest',
    'QueueEntry',
    'check_route_access',
    'find_credentials',
    'find_route',
    'parse_model_request',
    'read_deadline',
    'strip_credential_headers',
    'strip_credential_params',
]

"""Serving parts that all programs share."""

from mimosaworks.serving.error_answers import (
    REQUEST_ID_HEADER,
    RUN_HEADER,
    error_fields,
    error_headers,
)
from mimosaworks.serving.reset_on_close import set_reset_on_close
from mimosaworks.serving.serving import (
    PROMPT_SHUTDOWN_S,
    open_session,
    serve_app,
    start_task,
    stop_event,
)

__all__ = [
    'PROMPT_SHUTDOWN_S',
    'REQUEST_ID_HEADER',
    'RUN_HEADER',
    'error_fields',
    'error_headers',
    'open_session',
    'serve_app',
    'set_reset_on_close',
    'start_task',
    'stop_event',
]

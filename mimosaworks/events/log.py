"""Writes numbered events as log lines."""

import contextlib
import json
import sys
import time
from collections.abc import Generator

from absl import flags, logging

from mimosaworks.events.event import FAILURE_EVENTS, Event
from mimosaworks.events.json_stream import JsonStream, open_json_stream

_PLAIN_TYPES = (str, int, float, bool)
# The open stream, if any: a process has one log.
_JSON_STREAMS: list[JsonStream] = []  # noqa: WPS407


def start_logging() -> None:
    """Write log lines of level info and above to standard error.

    Called once by each program's composition root.
    """
    # The programs have their own flags; absl's keep their defaults.
    flags.FLAGS.mark_as_parsed()
    logging.use_absl_handler()
    logging.set_verbosity(logging.INFO)


@contextlib.contextmanager
def json_logging() -> Generator[JsonStream, None, None]:
    """Write events as JSON lines to standard output while it is open.

    Other log lines go to standard error. Used by a composition root.
    """
    start_logging()
    with open_json_stream(sys.stdout, FAILURE_EVENTS) as stream:
        _JSON_STREAMS.append(stream)
        try:
            yield stream
        finally:
            _JSON_STREAMS.remove(stream)


def log_event(event: Event, **fields: object) -> None:
    """Write one line: event number, name, and the fields in order.

    Values that are not text or numbers are written as JSON.
    """
    if _JSON_STREAMS:
        _JSON_STREAMS[-1].write(event, fields, time.time())
        return
    pairs = ' '.join(
        f'{name}={_render(field)}' for name, field in fields.items()
    )
    logging.info('E%d %s %s', event.value, event.name.lower(), pairs)


def _render(field: object) -> str:
    if isinstance(field, float):
        return f'{field:.4f}'
    if isinstance(field, _PLAIN_TYPES):
        return json.dumps(field)
    return json.dumps(field, default=str, separators=(',', ':'))

"""Writes numbered events as log lines."""

import json

from absl import flags, logging

from mimosaworks.events.event import Event

_PLAIN_TYPES = (str, int, float, bool)


def start_logging() -> None:
    """Write log lines of level info and above to standard error.

    Called once by each program's composition root.
    """
    # The programs have their own flags; absl's keep their defaults.
    flags.FLAGS.mark_as_parsed()
    logging.use_absl_handler()
    logging.set_verbosity(logging.INFO)


def log_event(event: Event, **fields: object) -> None:
    """Write one line: event number, name, and the fields in order.

    Values that are not text or numbers are written as JSON.
    """
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

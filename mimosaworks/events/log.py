"""Writes numbered events as log lines."""

import json

from absl import logging

from mimosaworks.events.event import Event

_PLAIN_TYPES = (str, int, float, bool)


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

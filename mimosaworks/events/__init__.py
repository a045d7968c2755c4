"""Numbered log events."""

from mimosaworks.events.event import Event
from mimosaworks.events.json_stream import JsonStream, open_json_stream
from mimosaworks.events.log import json_logging, log_event, start_logging

__all__ = [
    'Event',
    'JsonStream',
    'json_logging',
    'log_event',
    'open_json_stream',
    'start_logging',
]

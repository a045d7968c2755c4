"""Numbered log events."""

from mimosaworks.events.event import Event
from mimosaworks.events.log import log_event

__all__ = ['Event', 'log_event']

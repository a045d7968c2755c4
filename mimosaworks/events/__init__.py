"""Numbered log events."""

from mimosaworks.events.event import Event
from mimosaworks.events.log import log_event, start_logging

__all__ = ['Event', 'log_event', 'start_logging']

"""Serving parts that all programs share."""

from mimosaworks.serving.serving import serve_app, start_task, stop_event

__all__ = ['serve_app', 'start_task', 'stop_event']

"""A call of a chaos run with what became of it."""

import json
from collections.abc import Mapping
from http import HTTPStatus
from typing import Any

import attrs

from bench.chaos_ask import ChaosAsk


@attrs.frozen
class ChaosCall:
    """A call with its answer; times on the boot-time clock in seconds.

    status is 0 when no header came. fault names the connection error that
    ended the call, or is empty; first_s is when the header came.
    """

    ask: ChaosAsk
    sent_s: float
    ended_s: float
    first_s: float = 0
    status: int = 0
    headers: Mapping[str, str] = attrs.Factory(dict)
    body: bytes = b''
    fault: str = ''

    @property
    def is_ok(self) -> bool:
        """Whether a whole answer with status 200 came."""
        return self.status == HTTPStatus.OK and not self.fault

    @property
    def request_id(self) -> str:
        """The router's id of the request, or empty."""
        return self.headers.get('X-Request-Id', '')

    @property
    def run(self) -> str:
        """The run state that an error answer told, or empty."""
        return self.headers.get('Mimosa-Run', '')

    @property
    def is_replayed(self) -> bool:
        """Whether the answer is that of an earlier call."""
        return 'Idempotency-Replayed' in self.headers

    def code(self) -> str:
        """Return the kind of an error answer, or the fault or ok."""
        if self.fault:
            return self.fault
        if self.is_ok:
            return 'error event' if b'event: error' in self.body else 'ok'
        return str(self.fields()['error']['code'])

    def label(self) -> str:
        """Return the call's name with how it ended."""
        name, code = self.ask.name, self.code()
        return f'{name} ({code})'

    def fields(self) -> Any:
        """Return the body's JSON."""
        return json.loads(self.body)

    def events(self) -> list[str]:
        """Return the data of a stream's events."""
        lines = self.body.decode().splitlines()
        return [
            line.removeprefix('data: ')
            for line in lines
            if line.startswith('data: ')
        ]

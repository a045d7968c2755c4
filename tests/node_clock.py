"""A clock that tests of nodes set."""

import types

import attrs
import pytest


@attrs.define(eq=False)
class Clock:
    """The time that a module sees."""

    now: float = 1000


def set_clock(
    monkeypatch: pytest.MonkeyPatch, module: types.ModuleType
) -> Clock:
    """Let a module read a new clock."""
    made = Clock()
    monkeypatch.setattr(module, 'now_s', lambda: made.now)
    return made

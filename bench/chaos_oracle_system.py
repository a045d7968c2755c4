"""Promises of the system as a whole, checked on a chaos run's record."""

import itertools
from collections.abc import Iterator

from bench.chaos_ask import ChaosAsk
from bench.chaos_plan import WORKSPACES
from bench.chaos_record import ChaosRecord
from bench.chaos_system import (
    GRANTS,
    SERVICE_COST_TOKENS,
)
from mimosaworks.members.member_id import MemberId

RECOVERY_S = 20.0
Spending = tuple[float, float, float]  # sent at, seen at, tokens


def grants_hold(record: ChaosRecord) -> Iterator[str]:
    """Yield windows in which a workspace was given more than its grant.

    A request's tokens are taken between its caller's sending and the first
    sight of its run, so a run counts in a window that holds both; all such
    runs were certainly dispatched in the window, and no tolerance is needed.
    A run after the first counts with what its resumption left to generate.
    """
    for name, (rate, burst) in zip(WORKSPACES, GRANTS, strict=True):
        spent = _spendings(record, name)
        for start_s in sorted({sent_s for sent_s, _, _ in spent}):
            problem = _excess(spent, start_s, rate, burst)
            if problem:
                yield f'{name}: {problem}'
                break


def versions_grow(record: ChaosRecord) -> Iterator[str]:
    """Yield processes whose applied version went back."""
    latest: dict[MemberId, int] = {}
    for member, version in record.system.watch.versions:
        before = latest.get(member, 0)
        if version < before:
            yield f'{member.address} went from version {before} to {version}'
        latest[member] = version


def changes_stay(record: ChaosRecord) -> Iterator[str]:
    """Yield accepted changes that the final configuration lacks."""
    keys = record.keys
    final = set(record.final.key)
    for name in keys.added - keys.removed - keys.unknown - final:
        yield f'the accepted key {name} is lost'
    for name in keys.removed & final:
        yield f'the withdrawn key {name} is back'


def serves_again(record: ChaosRecord) -> Iterator[str]:
    """Yield routers that did not serve in time after the faults."""
    for name, seconds in record.recovered_s.items():
        if seconds > RECOVERY_S:
            yield f'{name} served again after {seconds:.1f} s'


def _spendings(record: ChaosRecord, workspace: str) -> list[Spending]:
    watch = record.system.watch
    calls = {call.ask.name: call for call in record.calls}
    ran: set[str] = set()
    found: list[Spending] = []
    for run, name in record.named_runs():
        call = calls.get(name)
        if call is None or call.ask.workspace != workspace:
            continue
        resumed_at = watch.resumed_at(run.request_id) if name in ran else 0
        ran.add(name)
        tokens = _tokens(call.ask, resumed_at)
        found.append((call.sent_s, run.at_s, tokens))
    return sorted(found, key=lambda spending: spending[1])


def _tokens(ask: ChaosAsk, resumed_at: int) -> int:
    if not ask.model:
        return SERVICE_COST_TOKENS
    return ask.prompt_tokens() + ask.max_tokens - resumed_at


def _excess(
    spent: list[Spending], start_s: float, rate: float, burst: float
) -> str:
    inside = [one for one in spent if one[0] >= start_s]
    totals = itertools.accumulate(tokens for _, _, tokens in inside)
    for (_, seen_s, _), total in zip(inside, totals, strict=True):
        window_s = seen_s - start_s
        allowed = burst + rate * window_s
        if total > allowed:
            return f'{total} of {allowed:.0f} tokens in {window_s:.2f} s'
    return ''

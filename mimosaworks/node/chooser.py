"""Finds a target for a request, with the holder or without it."""

import asyncio
import itertools
import math
from collections.abc import Callable, Iterator, Mapping

import attrs

from mimosaworks.clock import now_s
from mimosaworks.deployment import TargetEntry
from mimosaworks.dispatch import (
    Assignment,
    CallOutcome,
    Refusal,
    ResendTerms,
    TargetEnd,
    Verdict,
    judge_ends,
)
from mimosaworks.errors import ErrorKind, PeerError, RequestError
from mimosaworks.events import Event, log_event
from mimosaworks.node import call_log
from mimosaworks.node.attempt_error import AttemptError
from mimosaworks.node.beat_times import MIN_MEMBER_LOST_S
from mimosaworks.node.beliefs import Beliefs
from mimosaworks.node.call import Call
from mimosaworks.node.conversions import parts_of
from mimosaworks.node.holder_link import HolderLink
from mimosaworks.node.local_choice import LocalChoice
from mimosaworks.node.target_notices import TargetNotices
from mimosaworks.wire import CallAsk

HOLDER_WAIT_S = 2.5  # a lease, and the time to notice and to elect
HOLDER_POLL_S = 0.1
ANSWER_S = 0.7  # a swap from disk and a prompt, once a holder is there
MIN_ASK_S = 0.03  # less time than this serves nobody
# From a decision to its first byte: a place within a target's limit is for the
# moment; other requests leave the holder's books when their node is silent.
PLACE_S = 0.5
DECIDED_S = MIN_MEMBER_LOST_S
# A node that knows of no other admits this share of a rate.
UNKNOWN_MEMBERS = 100
_WORTH_WAITING = frozenset((
    ErrorKind.MODEL_NOT_READY,
    ErrorKind.NO_TARGET,
))


@attrs.define(eq=False)
class Chooser:
    """Asks the holder; decides from this node's own view without one.

    node, nonce and data_centre name this process and its place; notices are
    the targets to leave out for now. members gives the number of nodes, 0
    when it is not known. is_view_usable tells whether a view of the targets
    of this age (s) may decide, resend_terms the bound on resends of all nodes.
    """

    node: str
    nonce: str
    data_centre: str
    beliefs: Beliefs
    link: HolderLink
    notices: TargetNotices
    members: Callable[[], int]
    is_view_usable: Callable[[float], bool]
    resend_terms: Callable[[], ResendTerms]
    local: LocalChoice = attrs.field(init=False)
    _numbers: Iterator[int] = attrs.field(factory=lambda: itertools.count(1))

    def __attrs_post_init__(self) -> None:
        self.local = LocalChoice(limit_of=self.link.limits.per_s)

    async def choose(self, call: Call) -> Assignment:
        """Return a target; raises RequestError with the refusal."""
        decided = await self._decide(call)
        if isinstance(decided, Refusal):
            raise RequestError(
                decided.kind,
                decided.reason,
                retry_after_s=self._retry_after_s(call, decided),
            )
        return decided

    def may_resend(self, mark: str) -> bool:
        """Tell whether a content may be sent again after a target's end."""
        ends = self.link.crashes.count(mark)
        return judge_ends(ends) is Verdict.SERVED

    def note_end(self, call: Call, end: TargetEnd, begun_s: float) -> None:
        """Note that a target may have crashed while it ran a request.

        It was sent at begun_s.
        """
        note = self.link.crashes.see(end, begun_s, now_s())
        self.link.news.note_crash(note)
        call_log.log_end_seen(call, note)

    def check_grant(self, mark: str, assignment: Assignment) -> None:
        """Check a decision for a content right before its first byte is sent.

        This process may have been paused since, or have heard more of the
        target. Raises AttemptError when the request must not be sent.
        """
        reason = self._stale_reason(assignment, now_s())
        if not reason and not assignment.is_trial:
            reason = _suspect_reason(self.link.crashes.count(mark))
        if reason:
            # The holder may not have heard yet what is known here.
            self.link.news.has_news.set()
            raise AttemptError(CallOutcome.NOT_SENT, reason, is_not_run=True)

    def _stale_reason(self, assignment: Assignment, now: float) -> str:
        target = assignment.target
        age_s = now - assignment.granted_s
        longest_s = PLACE_S if assignment.is_counted else DECIDED_S
        if age_s > longest_s:
            return f'{target} was chosen {age_s:.2f} s ago'
        if target in self.notices.blocked(now):
            return f'{target} has asked to be left out'
        limit_per_s = self.link.limits.per_s(target)
        if limit_per_s < math.inf and not assignment.is_counted:
            return f'{target} was chosen before its limit was known'
        return ''

    def _retry_after_s(self, call: Call, refusal: Refusal) -> float:
        """Return when a refused caller may come back.

        That is not before this node may use a target again.
        """
        pause_s = self.notices.pause_left_s(now_s())
        if pause_s is None or refusal.kind not in _WORTH_WAITING:
            return refusal.retry_after_s
        return max(refusal.retry_after_s, min(pause_s, call.left_s()))

    async def _decide(self, call: Call) -> Assignment | Refusal:
        """Ask until a holder answers or waiting for one does not help."""
        give_up_s = now_s() + min(HOLDER_WAIT_S, call.first_left_s() - ANSWER_S)
        while True:  # noqa: WPS457 -- ends with a decision
            # A new name for each ask: the last holder may know the old one.
            ask = self._make_ask(call)
            call.ask = ask
            try:
                decided = await self._ask_holder(ask)
            except PeerError as exc:
                is_last = now_s() > give_up_s
                decided = self._go_on_alone(call, ask, str(exc), is_last)
                if decided is None:
                    await asyncio.sleep(HOLDER_POLL_S)
            if decided is not None:
                return decided

    def _go_on_alone(
        self, call: Call, ask: CallAsk, reason: str, is_last: bool
    ) -> Assignment | Refusal | None:
        """Decide without a holder; None while the next one may find more."""
        alone = self._decide_alone(call, ask)
        if _may_wait(alone) and not is_last:
            return None
        self._log_alone(call, alone, reason)
        return alone

    async def _ask_holder(self, ask: CallAsk) -> Assignment | Refusal | None:
        """Return the decision; None if its target is to be left out now."""
        asked_s = now_s()
        try:
            reply = await self.link.ask(ask)
        except (asyncio.CancelledError, PeerError):
            # A decision that is on its way books a target for nobody.
            self.link.news.note_end(ask.call, CallOutcome.CALLER_LEFT.value, 0)
            raise
        self.local.leave()
        if reply.kind:
            return Refusal(
                ErrorKind(reply.kind), reply.retry_after_s, reply.reason
            )
        if reply.target in self.notices.blocked(now_s()):
            self.link.news.note_end(ask.call, CallOutcome.NOT_SENT.value, 0)
            return None
        return Assignment(
            reply.target,
            reply.address,
            reply.priority,
            reply.reason,
            # The decision is younger than that by the way of the ask.
            granted_s=asked_s + reply.waited_s,
            is_counted=reply.is_counted,
            is_trial=reply.is_trial,
            born=reply.born,
            ended=reply.ended,
        )

    def _decide_alone(self, call: Call, ask: CallAsk) -> Assignment | Refusal:
        deployment = self.beliefs.deployment
        if deployment is None:
            return Refusal(
                ErrorKind.CONFIG_STALE, HOLDER_WAIT_S, 'no deployment'
            )
        suspected = self._refuse_suspect(ask.mark)
        if suspected is not None:
            return suspected
        now = now_s()
        if not self.is_view_usable(self._view_age_s()):
            return Refusal(
                ErrorKind.NO_TARGET, HOLDER_WAIT_S, 'the view is too old'
            )
        members = self.members() or UNKNOWN_MEMBERS
        targets = self._targets()
        self.local.enter(deployment, self.link.told.levels, members, now)
        self.local.bound_resends(self.resend_terms())
        decided = self.local.choose(ask, call.facts, targets, now)
        if isinstance(decided, Assignment):
            self.link.news.note_spent(ask.workspace, ask.cost)
        return decided

    def _refuse_suspect(self, mark: str) -> Refusal | None:
        """Refuse a content under which several targets ended.

        Without a holder nobody knows whether it runs elsewhere.
        """
        ends = self.link.crashes.count(mark, is_alone=True)
        verdict = judge_ends(ends)
        if verdict is Verdict.SERVED:
            return None
        kind = ErrorKind.NO_TARGET
        if verdict is Verdict.REFUSED:
            kind = ErrorKind.CRASH_SUSPECT
        return Refusal(kind, HOLDER_WAIT_S, f'crashed {ends} targets')

    def _view_age_s(self) -> float:
        """Return the age of the view of the targets."""
        confirmed_s = max(self.beliefs.targets_read_s, self.link.heard_s)
        return now_s() - confirmed_s

    def _targets(self) -> Mapping[str, TargetEntry]:
        """Return the view of the targets that was confirmed last."""
        if self.beliefs.targets_read_s > self.link.heard_s:
            return self.beliefs.targets
        return self.link.told.targets

    def _log_alone(
        self, call: Call, decided: Assignment | Refusal, reason: str
    ) -> None:
        log_event(
            Event.CALL_DECIDED_ALONE,
            request_id=call.request_id,
            target='' if isinstance(decided, Refusal) else decided.target,
            reason=f'{reason}; {decided.reason}',
            silent_s=self.link.silent_s(),
            members=self.members(),
            targets_age_s=self._view_age_s(),
            waited_s=call.age_s(),
        )

    def _make_ask(self, call: Call) -> CallAsk:
        facts = call.facts
        blocked = self.notices.blocked(now_s())
        return CallAsk(
            call=f'{self.nonce}-{next(self._numbers)}',
            node=self.node,
            fence=self.link.fence,
            service=call.service,
            workspace=call.workspace or '',
            cost=call.cost,
            priority=call.priority,
            model=facts.model,
            adapter=facts.adapter,
            tokens_in=facts.tokens_in,
            tokens_out=facts.tokens_out,
            tokens_hint=facts.tokens_hint,
            parts=parts_of(facts),
            data_centre=self.data_centre,
            target_s=call.route.target_s,
            left_s=max(call.left_s(), MIN_ASK_S),
            first_left_s=max(call.first_left_s(), MIN_ASK_S),
            resends=call.resends,
            excluded=tuple(sorted(call.excluded | blocked)),
            mark=call.mark,
            request_id=call.request_id,
        )


def _suspect_reason(ends: int) -> str:
    if judge_ends(ends) is Verdict.REFUSED:
        return f'crashed {ends} targets since'
    return ''


def _may_wait(decided: Assignment | Refusal) -> bool:
    """Tell whether the next holder may find a target."""
    return isinstance(decided, Refusal) and decided.kind in _WORTH_WAITING

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
from mimosaworks.node.conversions import part_notes_from
from mimosaworks.node.holder_link import HolderLink
from mimosaworks.node.standalone_chooser import StandaloneChooser
from mimosaworks.node.target_notices import TargetNotices
from mimosaworks.wire import CallAsk

MAX_HOLDER_WAIT_S = 2.5  # a lease, and the time to notice and to elect
HOLDER_POLL_INTERVAL_S = 0.1
FIRST_EVENT_ALLOWANCE_S = (
    0.7  # a swap from disk and a prompt, once a holder is there
)
MIN_REMAINING_S = 0.03  # less time than this serves nobody
# From a decision to its first byte: a place within a target's limit is for the
# moment; other requests leave the holder's books when their node is silent.
RATE_LIMITED_ASSIGNMENT_TTL_S = 0.5
ASSIGNMENT_TTL_S = MIN_MEMBER_LOST_S
# A node that knows of no other admits this share of a rate.
ASSUMED_MEMBER_COUNT = 100
_TRANSIENT_REFUSALS = frozenset((
    ErrorKind.MODEL_NOT_READY,
    ErrorKind.NO_TARGET,
))


@attrs.define(eq=False)
class TargetChooser:
    """Asks the holder; decides from this node's own view without one.

    node, nonce and data_centre name this process and its place; notices are
    the targets to leave out for now. members gives the number of nodes, 0
    when it is not known. is_view_usable tells whether a view of the targets
    of this age (s) may decide, resend_terms the bound on resends of all nodes.
    """

    node_name: str
    nonce: str
    data_centre: str
    cluster_state: Beliefs
    holder_link: HolderLink
    target_notices: TargetNotices
    count_members: Callable[[], int]
    is_view_usable: Callable[[float], bool]
    resend_terms: Callable[[], ResendTerms]
    standalone_chooser: StandaloneChooser = attrs.field(init=False)
    _call_numbers: Iterator[int] = attrs.field(
        factory=lambda: itertools.count(1)
    )

    def __attrs_post_init__(self) -> None:
        self.standalone_chooser = StandaloneChooser(
            find_rate_limit=self.holder_link.limits.per_s
        )

    async def choose_target(self, call: Call) -> Assignment:
        """Return a target; raises RequestError with the refusal."""
        decision = await self._decide_with_holder(call)
        if isinstance(decision, Refusal):
            raise RequestError(
                decision.kind,
                decision.reason,
                retry_after_s=self._retry_after_s(call, decision),
            )
        return decision

    def allows_resend_after_crash(self, fingerprint: str) -> bool:
        """Tell whether a content may be sent again after a target's end."""
        crash_count = self.holder_link.crashes.count(fingerprint)
        return judge_ends(crash_count) is Verdict.SERVED

    def record_crash(self, call: Call, crash: TargetEnd, sent_s: float) -> None:
        """Note that a target may have crashed while it ran a request.

        It was sent at begun_s.
        """
        crash_note = self.holder_link.crashes.see(crash, sent_s, now_s())
        self.holder_link.news.note_crash(crash_note)
        call_log.log_possible_crash(call, crash_note)

    def check_assignment(
        self, fingerprint: str, assignment: Assignment
    ) -> None:
        """Check a decision for a content right before its first byte is sent.

        This process may have been paused since, or have heard more of the
        target. Raises AttemptError when the request must not be sent.
        """
        reason = self._stale_assignment_reason(assignment, now_s())
        if not reason and not assignment.is_trial:
            reason = _crash_refusal_reason(
                self.holder_link.crashes.count(fingerprint)
            )
        if reason:
            # The holder may not have heard yet what is known here.
            self.holder_link.news.has_news.set()
            raise AttemptError(CallOutcome.NOT_SENT, reason, is_not_run=True)

    def _stale_assignment_reason(
        self, assignment: Assignment, now: float
    ) -> str:
        target = assignment.target
        age_s = now - assignment.granted_s
        max_age_s = (
            RATE_LIMITED_ASSIGNMENT_TTL_S
            if assignment.is_counted
            else ASSIGNMENT_TTL_S
        )
        if age_s > max_age_s:
            return f'{target} was chosen {age_s:.2f} s ago'
        if target in self.target_notices.blocked(now):
            return f'{target} has asked to be left out'
        limit_per_s = self.holder_link.limits.per_s(target)
        if limit_per_s < math.inf and not assignment.is_counted:
            return f'{target} was chosen before its limit was known'
        return ''

    def _retry_after_s(self, call: Call, refusal: Refusal) -> float:
        """Return when a refused caller may come back.

        That is not before this node may use a target again.
        """
        pause_remaining_s = self.target_notices.pause_left_s(now_s())
        if pause_remaining_s is None or refusal.kind not in _TRANSIENT_REFUSALS:
            return refusal.retry_after_s
        return max(
            refusal.retry_after_s, min(pause_remaining_s, call.remaining_s())
        )

    async def _decide_with_holder(self, call: Call) -> Assignment | Refusal:
        """Ask until a holder answers or waiting for one does not help."""
        holder_deadline_s = now_s() + min(
            MAX_HOLDER_WAIT_S,
            call.first_event_remaining_s() - FIRST_EVENT_ALLOWANCE_S,
        )
        while True:  # noqa: WPS457 -- ends with a decision
            # A new name for each ask: the last holder may know the old one.
            call_ask = self._make_call_ask(call)
            call.ask = call_ask
            try:
                decision = await self._request_holder_decision(call_ask)
            except PeerError as exc:
                is_last_try = now_s() > holder_deadline_s
                decision = self._decide_if_final(
                    call, call_ask, str(exc), is_last_try
                )
                if decision is None:
                    await asyncio.sleep(HOLDER_POLL_INTERVAL_S)
            if decision is not None:
                return decision

    def _decide_if_final(
        self,
        call: Call,
        call_ask: CallAsk,
        holder_failure: str,
        is_last_try: bool,
    ) -> Assignment | Refusal | None:
        """Decide without a holder; None while the next one may find more."""
        decision = self._decide_standalone(call, call_ask)
        if _is_transient_refusal(decision) and not is_last_try:
            return None
        self._log_standalone_decision(call, decision, holder_failure)
        return decision

    async def _request_holder_decision(
        self, call_ask: CallAsk
    ) -> Assignment | Refusal | None:
        """Return the decision; None if its target is to be left out now."""
        requested_s = now_s()
        try:
            reply = await self.holder_link.ask(call_ask)
        except (asyncio.CancelledError, PeerError):
            # A decision that is on its way books a target for nobody.
            self.holder_link.news.note_end(
                call_ask.call, CallOutcome.CALLER_LEFT.value, 0
            )
            raise
        self.standalone_chooser.reset_token_shares()
        if reply.kind:
            return Refusal(
                ErrorKind(reply.kind), reply.retry_after_s, reply.reason
            )
        if reply.target in self.target_notices.blocked(now_s()):
            self.holder_link.news.note_end(
                call_ask.call, CallOutcome.NOT_SENT.value, 0
            )
            return None
        return Assignment(
            reply.target,
            reply.address,
            reply.priority,
            reply.reason,
            # The decision is younger than that by the way of the ask.
            granted_s=requested_s + reply.waited_s,
            is_counted=reply.is_counted,
            is_trial=reply.is_trial,
            born=reply.born,
            ended=reply.ended,
        )

    def _decide_standalone(
        self, call: Call, call_ask: CallAsk
    ) -> Assignment | Refusal:
        deployment = self.cluster_state.deployment
        if deployment is None:
            return Refusal(
                ErrorKind.CONFIG_STALE, MAX_HOLDER_WAIT_S, 'no deployment'
            )
        refusal = self._refuse_crash_suspect(call_ask.mark)
        if refusal is not None:
            return refusal
        now = now_s()
        if not self.is_view_usable(self._targets_age_s()):
            return Refusal(
                ErrorKind.NO_TARGET, MAX_HOLDER_WAIT_S, 'the view is too old'
            )
        member_count = self.count_members() or ASSUMED_MEMBER_COUNT
        targets = self._latest_targets()
        self.standalone_chooser.apply_token_shares(
            deployment, self.holder_link.told.levels, member_count, now
        )
        self.standalone_chooser.apply_resend_share(self.resend_terms())
        decision = self.standalone_chooser.choose_target(
            call_ask, call.facts, targets, now
        )
        if isinstance(decision, Assignment):
            self.holder_link.news.note_spent(call_ask.workspace, call_ask.cost)
        return decision

    def _refuse_crash_suspect(self, fingerprint: str) -> Refusal | None:
        """Refuse a content under which several targets ended.

        Without a holder nobody knows whether it runs elsewhere.
        """
        crash_count = self.holder_link.crashes.count(fingerprint, is_alone=True)
        verdict = judge_ends(crash_count)
        if verdict is Verdict.SERVED:
            return None
        kind = ErrorKind.NO_TARGET
        if verdict is Verdict.REFUSED:
            kind = ErrorKind.CRASH_SUSPECT
        return Refusal(
            kind, MAX_HOLDER_WAIT_S, f'crashed {crash_count} targets'
        )

    def _targets_age_s(self) -> float:
        """Return the age of the view of the targets."""
        last_confirmed_s = max(
            self.cluster_state.targets_read_s, self.holder_link.heard_s
        )
        return now_s() - last_confirmed_s

    def _latest_targets(self) -> Mapping[str, TargetEntry]:
        """Return the view of the targets that was confirmed last."""
        if self.cluster_state.targets_read_s > self.holder_link.heard_s:
            return self.cluster_state.targets
        return self.holder_link.told.targets

    def _log_standalone_decision(
        self, call: Call, decision: Assignment | Refusal, holder_failure: str
    ) -> None:
        log_event(
            Event.CALL_DECIDED_ALONE,
            request_id=call.request_id,
            target='' if isinstance(decision, Refusal) else decision.target,
            reason=f'{holder_failure}; {decision.reason}',
            silent_s=self.holder_link.silent_s(),
            members=self.count_members(),
            targets_age_s=self._targets_age_s(),
            waited_s=call.age_s(),
        )

    def _make_call_ask(self, call: Call) -> CallAsk:
        facts = call.facts
        blocked_targets = self.target_notices.blocked(now_s())
        return CallAsk(
            call=f'{self.nonce}-{next(self._call_numbers)}',
            node=self.node_name,
            fence=self.holder_link.fence,
            service=call.service,
            workspace=call.workspace or '',
            cost=call.cost,
            priority=call.priority,
            model=facts.model,
            adapter=facts.adapter,
            tokens_in=facts.tokens_in,
            tokens_out=facts.tokens_out,
            tokens_hint=facts.tokens_hint,
            parts=part_notes_from(facts),
            data_centre=self.data_centre,
            target_s=call.route.target_s,
            left_s=max(call.remaining_s(), MIN_REMAINING_S),
            first_left_s=max(call.first_event_remaining_s(), MIN_REMAINING_S),
            resends=call.resends,
            excluded=tuple(sorted(call.excluded_targets | blocked_targets)),
            mark=call.fingerprint,
            request_id=call.request_id,
        )


def _crash_refusal_reason(crash_count: int) -> str:
    if judge_ends(crash_count) is Verdict.REFUSED:
        return f'crashed {crash_count} targets since'
    return ''


def _is_transient_refusal(decision: Assignment | Refusal) -> bool:
    """Tell whether the next holder may find a target."""
    return (
        isinstance(decision, Refusal) and decision.kind in _TRANSIENT_REFUSALS
    )

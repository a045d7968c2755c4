"""Chooses a target for a request, by the lease holder or standalone."""

import asyncio
import functools
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
    ResendBudgetConfig,
    TargetCrash,
    Verdict,
)
from mimosaworks.errors import ErrorKind, PeerError, RequestError
from mimosaworks.events import Event, log_event
from mimosaworks.node import call_log
from mimosaworks.node.attempt_error import AttemptError
from mimosaworks.node.call import Call
from mimosaworks.node.cluster_state import ClusterState
from mimosaworks.node.conversions import part_notes_from
from mimosaworks.node.heartbeat_times import MIN_MEMBER_TIMEOUT_S
from mimosaworks.node.holder_link import HolderLink
from mimosaworks.node.standalone_chooser import StandaloneChooser
from mimosaworks.node.standalone_shares import share_of_rejections
from mimosaworks.node.target_notices import TargetNotices
from mimosaworks.wire import CallAsk

# The duration of a lease, and the time to detect that its holder is lost and to
# elect another.
MAX_HOLDER_WAIT_S = 2.5
HOLDER_POLL_INTERVAL_S = 0.1
# Time from an election to the first event: a load from disk and the prompt.
FIRST_EVENT_ALLOWANCE_S = 0.7
# A shorter remaining time does not suffice for any answer.
MIN_REMAINING_S = 0.03
# Longest times from a decision until the first byte is sent. A permit of a
# target's rate limit is for immediate use. The holder drops other assignments
# when it has had no heartbeat of the node for ASSIGNMENT_TTL_S.
RATE_LIMITED_ASSIGNMENT_TTL_S = 0.5
ASSIGNMENT_TTL_S = MIN_MEMBER_TIMEOUT_S
# A node that knows no other members uses one part in this many of a rate.
ASSUMED_MEMBER_COUNT = 100
_TRANSIENT_REFUSALS = frozenset((
    ErrorKind.MODEL_NOT_READY,
    ErrorKind.NO_TARGET,
))


def _is_never_cut_off() -> bool:
    return False


@attrs.define(eq=False)
class TargetChooser:
    """Requests targets from the holder; decides standalone without one.

    node_name, nonce and data_centre identify this process and its location.
    target_notices are the targets to which nothing may be sent for now.
    count_members returns the number of nodes that share the limits, 0 when it
    is unknown.
    is_view_usable returns whether a view of the targets of this age in
    seconds may be used for a decision, is_view_fresh whether the software
    versions in it still hold, max_send_age_s the greatest age of the
    view behind a request that is sent, find_resend_config the resend budget of
    all nodes, is_cut_off whether this node has no path to targets.
    """

    node_name: str
    nonce: str
    data_centre: str
    cluster_state: ClusterState
    holder_link: HolderLink
    target_notices: TargetNotices
    count_members: Callable[[], int]
    is_view_usable: Callable[[float], bool]
    is_view_fresh: Callable[[float], bool]
    find_resend_config: Callable[[], ResendBudgetConfig]
    max_send_age_s: Callable[[], float] = lambda: math.inf
    is_cut_off: Callable[[], bool] = _is_never_cut_off
    standalone_chooser: StandaloneChooser = attrs.field(init=False)
    _call_numbers: Iterator[int] = attrs.field(
        factory=lambda: itertools.count(1)
    )

    def __attrs_post_init__(self) -> None:
        self.standalone_chooser = StandaloneChooser(
            find_rate_limit=self.holder_link.limit_view.rate_limit_per_s,
            find_brittle_share=functools.partial(_brittle_share, self),
        )

    async def choose_target(self, call: Call) -> Assignment:
        """Return a target, or raise RequestError with the refusal."""
        decision = await self._decide_with_holder(call)
        if isinstance(decision, Refusal):
            raise RequestError(
                decision.kind,
                decision.reason,
                retry_after_s=self._retry_after_s(call, decision),
            )
        return decision

    def allows_resend_after_crash(self, call: Call) -> bool:
        """Return whether a request may be resent that may crash targets."""
        crash_view = self.holder_link.crash_view
        return crash_view.find_verdict(call.suspect_keys) is Verdict.SERVED

    def record_crash(
        self, call: Call, crash: TargetCrash, sent_s: float
    ) -> None:
        """Record that a target may have crashed while it ran a request.

        sent_s is when the request was sent to the target.
        """
        now = now_s()
        crash_notes = [
            self.holder_link.crash_view.record_crash(
                attrs.evolve(crash, fingerprint=key), sent_s, now
            )
            for key in call.suspect_keys
        ]
        for crash_note in crash_notes:
            self.holder_link.pending_updates.record_crash(crash_note)
        call_log.log_possible_crash(call, crash_notes[0])

    def check_assignment(
        self, suspect_keys: tuple[str, ...], assignment: Assignment
    ) -> None:
        """Check an assignment right before the first byte is sent.

        Since the decision this process may have been paused, or may have
        received notices of the target or crashes by requests with one of
        these suspect keys. Raises AttemptError when the request must not be
        sent.
        """
        reason = self._stale_assignment_reason(assignment, now_s())
        if not reason and not assignment.is_trial:
            reason = _crash_refusal_reason(
                self.holder_link.crash_view.find_verdict(suspect_keys)
            )
        if reason:
            # The holder may not know yet what this node knows.
            self.holder_link.pending_updates.has_urgent_updates.set()
            raise AttemptError(CallOutcome.NOT_SENT, reason, is_not_run=True)

    def latest_targets(self) -> Mapping[str, TargetEntry]:
        """Return the view of the targets that was confirmed last."""
        replicated_as_of_s = self.holder_link.replicated_view.targets_as_of_s
        if self.cluster_state.targets_read_s > replicated_as_of_s:
            return self.cluster_state.targets
        return self.holder_link.replicated_view.targets

    def _stale_assignment_reason(
        self, assignment: Assignment, now: float
    ) -> str:
        target = assignment.target
        age_s = now - assignment.granted_s
        max_age_s = (
            RATE_LIMITED_ASSIGNMENT_TTL_S
            if assignment.has_permit
            else ASSIGNMENT_TTL_S
        )
        if age_s > max_age_s:
            return f'{target} was chosen {age_s:.2f} s ago'
        view_age_s = age_s + assignment.view_age_s
        if view_age_s > self.max_send_age_s():
            return f'{target} was chosen from a view {view_age_s:.2f} s old'
        if target in self.target_notices.blocked_targets(now):
            return f'{target} announced that it accepts no requests'
        limit_per_s = self.holder_link.limit_view.rate_limit_per_s(target)
        if limit_per_s < math.inf and not assignment.has_permit:
            return f'{target} was chosen before its rate limit was known'
        return ''

    def _retry_after_s(self, call: Call, refusal: Refusal) -> float:
        """Return the seconds after which a refused caller may retry.

        That is not before the first pause of a target ends.
        """
        pause_remaining_s = self.target_notices.next_pause_remaining_s(now_s())
        if pause_remaining_s is None or refusal.kind not in _TRANSIENT_REFUSALS:
            return refusal.retry_after_s
        return max(
            refusal.retry_after_s, min(pause_remaining_s, call.remaining_s())
        )

    async def _decide_with_holder(self, call: Call) -> Assignment | Refusal:
        """Request a decision until a holder answers or it is too late to wait.

        Without a holder this node decides itself.
        """
        holder_deadline_s = now_s() + min(
            MAX_HOLDER_WAIT_S,
            call.first_event_remaining_s() - FIRST_EVENT_ALLOWANCE_S,
        )
        while True:  # noqa: WPS457 -- ends with a decision
            # Each message has a new call id, as the last holder may know the
            # old one.
            call_ask = self._make_call_ask(call)
            call.call_ask = call_ask
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
        """Decide standalone.

        Return None while the next holder may still find a target.
        """
        decision = self._decide_standalone(call, call_ask)
        if _is_transient_refusal(decision) and not is_last_try:
            return None
        self._log_standalone_decision(call, decision, holder_failure)
        return decision

    async def _request_holder_decision(
        self, call_ask: CallAsk
    ) -> Assignment | Refusal | None:
        """Return the holder's decision.

        None if nothing may be sent to its target. Raises PeerError without a
        holder.
        """
        requested_s = now_s()
        try:
            reply = await self.holder_link.request_assignment(call_ask)
        except (asyncio.CancelledError, PeerError):
            # A decision in transit reserves a target that nobody will use.
            self.holder_link.pending_updates.record_call_end(
                call_ask.call, CallOutcome.CALLER_LEFT.value, 0
            )
            raise
        self.standalone_chooser.reset_token_shares()
        if reply.kind:
            return Refusal(
                ErrorKind(reply.kind), reply.retry_after_s, reply.reason
            )
        if reply.target in self.target_notices.blocked_targets(now_s()):
            self.holder_link.pending_updates.record_call_end(
                call_ask.call, CallOutcome.NOT_SENT.value, 0
            )
            return None
        return Assignment(
            reply.target,
            reply.address,
            reply.priority,
            reply.reason,
            # The decision is later than this by the transit of the message to
            # the holder.
            granted_s=requested_s + reply.waited_s,
            has_permit=reply.is_counted,
            is_trial=reply.is_trial,
            incarnation=reply.born,
            crash_count=reply.ended,
            view_age_s=reply.view_age_s,
            software_version=reply.software_version,
        )

    def _decide_standalone(
        self, call: Call, call_ask: CallAsk
    ) -> Assignment | Refusal:
        deployment = self.cluster_state.deployment
        if deployment is None:
            return Refusal(
                ErrorKind.CONFIG_STALE,
                MAX_HOLDER_WAIT_S,
                'this node has not read a deployment yet',
            )
        refusal = self._refuse_crash_suspect(call.suspect_keys)
        if refusal is not None:
            return refusal
        now = now_s()
        targets_age_s = self._targets_age_s()
        if not self.is_view_usable(targets_age_s):
            return Refusal(
                ErrorKind.NO_TARGET,
                MAX_HOLDER_WAIT_S,
                'the view of the targets is too old',
            )
        member_count = self.count_members() or ASSUMED_MEMBER_COUNT
        targets = self.latest_targets()
        if not self.is_view_fresh(targets_age_s):
            targets = _without_versions(targets)
        self.standalone_chooser.apply_token_shares(
            deployment,
            self.holder_link.replicated_view.token_balances,
            member_count,
            now,
        )
        self.standalone_chooser.apply_resend_share(self.find_resend_config())
        decision = self.standalone_chooser.choose_target(
            call_ask, call.profile, targets, now
        )
        if isinstance(decision, Assignment):
            self.holder_link.pending_updates.record_charged_tokens(
                call_ask.workspace, call_ask.cost
            )
        return decision

    def _refuse_crash_suspect(
        self, suspect_keys: tuple[str, ...]
    ) -> Refusal | None:
        """Return a refusal for requests that crashed several targets.

        Such requests run one at a time, and without a holder it is unknown
        whether one with such a key runs at another node.
        """
        verdict = self.holder_link.crash_view.find_verdict(
            suspect_keys, is_standalone=True
        )
        if verdict is Verdict.SERVED:
            return None
        kind = ErrorKind.NO_TARGET
        if verdict is Verdict.REFUSED:
            kind = ErrorKind.CRASH_SUSPECT
        return Refusal(
            kind,
            MAX_HOLDER_WAIT_S,
            'requests like this crashed several targets',
        )

    def _targets_age_s(self) -> float:
        """Return the age of the view of the targets in seconds."""
        replicated_as_of_s = self.holder_link.replicated_view.targets_as_of_s
        last_confirmed_s = max(
            self.cluster_state.targets_read_s, replicated_as_of_s
        )
        return now_s() - last_confirmed_s

    def _log_standalone_decision(
        self, call: Call, decision: Assignment | Refusal, holder_failure: str
    ) -> None:
        log_event(
            Event.CALL_DECIDED_ALONE,
            request_id=call.request_id,
            target='' if isinstance(decision, Refusal) else decision.target,
            reason=f'{holder_failure}; {decision.reason}',
            silent_s=self.holder_link.last_reply_age_s(),
            members=self.count_members(),
            targets_age_s=self._targets_age_s(),
            waited_s=call.age_s(),
        )

    def _make_call_ask(self, call: Call) -> CallAsk:
        profile = call.profile
        blocked_targets = self.target_notices.blocked_targets(now_s())
        return CallAsk(
            call=f'{self.nonce}-{next(self._call_numbers)}',
            node=self.node_name,
            fence=self.holder_link.fence,
            service=call.service,
            workspace=call.workspace or '',
            cost=call.cost,
            priority=call.priority,
            model=profile.model,
            adapter=profile.adapter,
            tokens_in=profile.tokens_in,
            tokens_out=profile.tokens_out,
            tokens_hint=profile.tokens_hint,
            parts=part_notes_from(profile),
            data_centre=self.data_centre,
            target_s=call.route.latency_target_s,
            left_s=max(call.remaining_s(), MIN_REMAINING_S),
            first_left_s=max(call.first_event_remaining_s(), MIN_REMAINING_S),
            resends=call.resends,
            excluded=tuple(sorted(call.excluded_targets | blocked_targets)),
            mark=call.fingerprint,
            request_id=call.request_id,
            software_version=call.stream_version or '',
            is_relayed=self.is_cut_off(),
        )


def _without_versions(
    targets: Mapping[str, TargetEntry],
) -> Mapping[str, TargetEntry]:
    """Return targets that may have started again since with other versions.

    Streams may begin there, to be resumed nowhere.
    """
    return {
        name: attrs.evolve(entry, software_version='')
        for name, entry in targets.items()
    }


def _crash_refusal_reason(verdict: Verdict) -> str:
    if verdict is Verdict.REFUSED:
        return 'requests like this crashed several targets since'
    return ''


def _is_transient_refusal(decision: Assignment | Refusal) -> bool:
    """Return whether the next holder may find a target."""
    return (
        isinstance(decision, Refusal) and decision.kind in _TRANSIENT_REFUSALS
    )


def _brittle_share(chooser: TargetChooser, target: str) -> float:
    """Return how many requests a node may have at a target without a holder."""
    link = chooser.holder_link
    most_per_s = link.brittle_targets.most_per_s(target)
    if most_per_s is None:
        # Without any answer nothing is known of the target.
        is_known = link.last_reply_s or link.brittle_targets.is_known_sound(
            target
        )
        return math.inf if is_known else 1
    return share_of_rejections(
        most_per_s,
        target,
        chooser.node_name,
        link.replicated_view.members,
        chooser.count_members() or ASSUMED_MEMBER_COUNT,
    )

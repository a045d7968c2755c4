"""Decides where requests run and which models are loaded; does no I/O."""

from mimosaworks.dispatch.crash_tracker import (
    CrashLogEntry,
    CrashTracker,
)
from mimosaworks.dispatch.dispatcher import Decision, Dispatcher
from mimosaworks.dispatch.engine_pool import EnginePool
from mimosaworks.dispatch.engine_target import EngineTarget, Step
from mimosaworks.dispatch.job import (
    Assignment,
    AssignmentRequest,
    Job,
    Refusal,
    find_granted_s,
)
from mimosaworks.dispatch.load_time import with_current_duration
from mimosaworks.dispatch.outcome import CallOutcome, outcome_for_status
from mimosaworks.dispatch.plain_pool import PlainPool, PlainTarget
from mimosaworks.dispatch.preload import preload_models
from mimosaworks.dispatch.reconcile import apply_reported_models
from mimosaworks.dispatch.rejection_limits import RejectionLimits
from mimosaworks.dispatch.resend_budget import ResendBudgetConfig, ResendBudgets
from mimosaworks.dispatch.suspect import Suspect
from mimosaworks.dispatch.suspect_keys import (
    Verdict,
    find_request_verdicts,
    is_part_key,
    suspect_keys,
    verdict_for_crash_count,
    verdict_for_crashes,
)
from mimosaworks.dispatch.target_crashes import EntriesView, TargetCrash
from mimosaworks.dispatch.target_rate_limits import TargetRateLimits
from mimosaworks.dispatch.trial_planner import TrialPlanner

__all__ = [
    'Assignment',
    'AssignmentRequest',
    'CallOutcome',
    'CrashLogEntry',
    'CrashTracker',
    'Decision',
    'Dispatcher',
    'EnginePool',
    'EngineTarget',
    'EntriesView',
    'Job',
    'PlainPool',
    'PlainTarget',
    'Refusal',
    'RejectionLimits',
    'ResendBudgetConfig',
    'ResendBudgets',
    'Step',
    'Suspect',
    'TargetCrash',
    'TargetRateLimits',
    'TrialPlanner',
    'Verdict',
    'apply_reported_models',
    'find_granted_s',
    'outcome_for_status',
    'preload_models',
    'find_request_verdicts',
    'is_part_key',
    'suspect_keys',
    'verdict_for_crash_count',
    'verdict_for_crashes',
    'with_current_duration',
]

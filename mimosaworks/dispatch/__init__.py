"""Decides where requests run and which models are loaded; does no I/O."""

from mimosaworks.dispatch.crash_book import (
    BookNews,
    CrashBook,
    Suspect,
    Verdict,
    judge_ends,
)
from mimosaworks.dispatch.crash_trials import CrashTrials
from mimosaworks.dispatch.dispatcher import Decided, Dispatcher
from mimosaworks.dispatch.engine_pool import EnginePool
from mimosaworks.dispatch.engine_target import EngineTarget, Step
from mimosaworks.dispatch.job import Ask, Assignment, Job, Refusal, granted_s
from mimosaworks.dispatch.load_ahead import load_ahead
from mimosaworks.dispatch.load_time import timed
from mimosaworks.dispatch.outcome import CallOutcome, outcome_of
from mimosaworks.dispatch.plain_pool import PlainPool, PlainTarget
from mimosaworks.dispatch.reconcile import adopt_models
from mimosaworks.dispatch.resend_budget import ResendBudgets, ResendTerms
from mimosaworks.dispatch.target_ends import EntriesView, TargetEnd
from mimosaworks.dispatch.target_limits import TargetLimits

__all__ = [
    'Ask',
    'Assignment',
    'BookNews',
    'CallOutcome',
    'CrashBook',
    'CrashTrials',
    'Decided',
    'Dispatcher',
    'EnginePool',
    'EngineTarget',
    'EntriesView',
    'Job',
    'PlainPool',
    'PlainTarget',
    'Refusal',
    'ResendBudgets',
    'ResendTerms',
    'Step',
    'Suspect',
    'TargetEnd',
    'TargetLimits',
    'Verdict',
    'adopt_models',
    'granted_s',
    'judge_ends',
    'load_ahead',
    'outcome_of',
    'timed',
]

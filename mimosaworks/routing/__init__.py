"""Routing: request queues, choice of target, retries and crash suspects."""

from mimosaworks.routing.choice import TargetChoice, choose_target
from mimosaworks.routing.crash_monitor import CrashMonitor
from mimosaworks.routing.demand_sender import DemandSender
from mimosaworks.routing.dispatcher import Dispatcher
from mimosaworks.routing.generation_tracker import GenerationTracker
from mimosaworks.routing.leaving_targets import LeavingTargets
from mimosaworks.routing.replica_table import ReplicaTable
from mimosaworks.routing.request_queue import QueuedRequest, RequestQueue
from mimosaworks.routing.retry_budget import RetryBudget
from mimosaworks.routing.routed_request import RoutedRequest
from mimosaworks.routing.slot import Slot
from mimosaworks.routing.suspects import SuspectTable, compute_fingerprint
from mimosaworks.routing.target_pool import TargetPool
from mimosaworks.routing.target_status import TargetStatus
from mimosaworks.routing.token_source import TokenSource

__all__ = [
    'CrashMonitor',
    'DemandSender',
    'Dispatcher',
    'GenerationTracker',
    'LeavingTargets',
    'QueuedRequest',
    'ReplicaTable',
    'RequestQueue',
    'RetryBudget',
    'RoutedRequest',
    'Slot',
    'SuspectTable',
    'TargetChoice',
    'TargetPool',
    'TargetStatus',
    'TokenSource',
    'choose_target',
    'compute_fingerprint',
]

"""Routing: request queues, choice of target, retries and crash suspects."""

from mimosaworks.routing.choice import TargetChoice, choose_target
from mimosaworks.routing.crash_watch import CrashWatch
from mimosaworks.routing.demand_sender import DemandSender
from mimosaworks.routing.dispatcher import Dispatcher
from mimosaworks.routing.generations import Generations
from mimosaworks.routing.leaving_targets import LeavingTargets
from mimosaworks.routing.replica_table import ReplicaTable
from mimosaworks.routing.request_queue import QueuedRequest, RequestQueue
from mimosaworks.routing.retry_budget import RetryBudget
from mimosaworks.routing.slot import Slot
from mimosaworks.routing.suspects import SuspectTable, fingerprint
from mimosaworks.routing.target_pool import TargetPool
from mimosaworks.routing.target_status import TargetStatus
from mimosaworks.routing.ticket import Ticket
from mimosaworks.routing.token_source import TokenSource

__all__ = [
    'TargetChoice',
    'CrashWatch',
    'DemandSender',
    'Dispatcher',
    'Generations',
    'RequestQueue',
    'LeavingTargets',
    'ReplicaTable',
    'RetryBudget',
    'Slot',
    'SuspectTable',
    'TargetPool',
    'TargetStatus',
    'Ticket',
    'TokenSource',
    'QueuedRequest',
    'choose_target',
    'fingerprint',
]

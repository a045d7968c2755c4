"""Routing: choice of target, retries and crash suspects."""

from mimosaworks.routing.choice import Choice, choose_target
from mimosaworks.routing.crash_watch import CrashWatch
from mimosaworks.routing.demand_sender import DemandSender
from mimosaworks.routing.dispatcher import Dispatcher
from mimosaworks.routing.generations import Generations
from mimosaworks.routing.lane import Lane, Waiter
from mimosaworks.routing.leaving import LeavingTargets
from mimosaworks.routing.replica_table import ReplicaTable
from mimosaworks.routing.retry_budget import RetryBudget
from mimosaworks.routing.slot import Slot
from mimosaworks.routing.suspects import SuspectTable, fingerprint
from mimosaworks.routing.target_pool import TargetPool
from mimosaworks.routing.target_state import TargetState
from mimosaworks.routing.ticket import Ticket
from mimosaworks.routing.tokens import Tokens

__all__ = [
    'Choice',
    'CrashWatch',
    'DemandSender',
    'Dispatcher',
    'Generations',
    'Lane',
    'LeavingTargets',
    'ReplicaTable',
    'RetryBudget',
    'Slot',
    'SuspectTable',
    'TargetPool',
    'TargetState',
    'Ticket',
    'Tokens',
    'Waiter',
    'choose_target',
    'fingerprint',
]

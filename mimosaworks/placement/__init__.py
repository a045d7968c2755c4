"""Placement: which models and adapters are loaded on which targets."""

from mimosaworks.placement.budget import LoadBudget
from mimosaworks.placement.decision import Decision, DecisionKind
from mimosaworks.placement.errors import LeaseLapsedError
from mimosaworks.placement.intent import Intent, IntentState
from mimosaworks.placement.intent_ledger import IntentLedger
from mimosaworks.placement.keep_alive import (
    KeepAliveConfig,
    compute_keep_alive_s,
)
from mimosaworks.placement.lease import ShardLease
from mimosaworks.placement.lease_row import LeaseRow
from mimosaworks.placement.map_pusher import MapPusher
from mimosaworks.placement.order import Order
from mimosaworks.placement.order_sender import OrderSender
from mimosaworks.placement.placement_config import PlacementConfig
from mimosaworks.placement.placer_settings import PlacerSettings
from mimosaworks.placement.replica_map_builder import ReplicaMapBuilder
from mimosaworks.placement.report import Report, report_from_dict
from mimosaworks.placement.report_reader import ReportReader
from mimosaworks.placement.service import PlacerService
from mimosaworks.placement.shard_commit import ShardCommit
from mimosaworks.placement.shard_placer import ShardPlacer
from mimosaworks.placement.shard_state import ShardState
from mimosaworks.placement.shard_writer import ShardWriter
from mimosaworks.placement.target_poller import TargetPoller

__all__ = [
    'ShardCommit',
    'Decision',
    'DecisionKind',
    'Intent',
    'IntentState',
    'KeepAliveConfig',
    'LeaseLapsedError',
    'LeaseRow',
    'IntentLedger',
    'LoadBudget',
    'ReplicaMapBuilder',
    'MapPusher',
    'Order',
    'OrderSender',
    'PlacementConfig',
    'PlacerService',
    'PlacerSettings',
    'Report',
    'ReportReader',
    'ShardLease',
    'ShardPlacer',
    'ShardState',
    'ShardWriter',
    'TargetPoller',
    'compute_keep_alive_s',
    'report_from_dict',
]

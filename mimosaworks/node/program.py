"""Composition root of the entry node: builds its parts and runs them."""

import contextlib
import functools
import secrets

import attrs

from mimosaworks.events import Event, JsonStream, json_logging, log_event
from mimosaworks.node.candidates import Candidates, compute_strength
from mimosaworks.node.cluster_follower import ClusterFollower
from mimosaworks.node.cluster_state import ClusterState
from mimosaworks.node.election import RENEWAL_TIMEOUT_S, Election
from mimosaworks.node.endpoints import serve_endpoints
from mimosaworks.node.frontend_setup import (
    make_brittle_targets,
    make_frontend,
)
from mimosaworks.node.holder_link import HolderLink
from mimosaworks.node.memory_bounds import MemoryBounds
from mimosaworks.node.meters import Meters
from mimosaworks.node.node import (
    Node,
    make_limit_view,
    resend_config,
    save_rows_again,
)
from mimosaworks.node.planned_stop import log_stopped, stop_node
from mimosaworks.node.sessions import (
    open_engine_calls,
    open_session,
    open_target_session,
)
from mimosaworks.node.target_chooser import TargetChooser
from mimosaworks.node.target_notices import (
    TargetNotices,
    apply_response_headers,
)
from mimosaworks.platform import (
    BootSettings,
    StoreClient,
)
from mimosaworks.serving import start_task, stop_event
from mimosaworks.wire import PeerClient

NONCE_BYTES = 6
# Short, as targets may close idle connections without notice.
TARGET_IDLE_TIMEOUT_S = 6.0
PEER_IDLE_TIMEOUT_S = 20.0
# A target's entry lapses when it misses this many heartbeats.
ENTRY_LAPSE_HEARTBEATS = 3
# Writes to the store may be delayed, and its answers be stale by some seconds.
ENTRY_LAPSE_SLACK_S = 24.0
# More than a page of rows, which the store limits to 1 MB.
MAX_STORE_ANSWER_BYTES = 4000000
# Enough for all members, targets and token balances at their largest size.
MAX_PEER_ANSWER_BYTES = 16000000
# Some times the spread of the VMs' start times.
WEAK_NODE_ELECTION_DELAY_S = 0.5


async def run_node(
    cfg: BootSettings, boot_path: str, bounds: MemoryBounds
) -> None:
    """Serve until SIGTERM, then stop after draining open requests.

    boot_path is the settings file, which is read again on SIGHUP.
    """
    with json_logging() as log_stream:
        async with contextlib.AsyncExitStack() as stack:
            node = await _build_node(cfg, bounds, stack)
            stop_requested = stop_event(
                functools.partial(node.reload_settings, boot_path)
            )
            await _start_tasks(node, log_stream, stack)
            await stop_requested.wait()
            await stop_node(node)
        log_stopped(node, log_stream.dropped)


async def _build_node(
    cfg: BootSettings,
    bounds: MemoryBounds,
    stack: contextlib.AsyncExitStack,
) -> Node:
    store_session = await open_session(
        stack, PEER_IDLE_TIMEOUT_S, MAX_STORE_ANSWER_BYTES
    )
    target_session = await open_target_session(
        stack, TARGET_IDLE_TIMEOUT_S, bounds.answers.answer_bytes
    )
    engine_calls = await open_engine_calls(stack, bounds.answers.answer_bytes)
    peer_session = await open_session(
        stack, PEER_IDLE_TIMEOUT_S, MAX_PEER_ANSWER_BYTES
    )
    store_address = cfg.store_address
    meters = Meters()
    target_notices = TargetNotices(
        find_incarnation=lambda target: node.find_incarnation(target),
        on_leaving=lambda target, incarnation: (
            node.holder_link.pending_updates.record_leaving_target(
                target, incarnation
            )
        ),
        on_notice=meters.count_target_notice,
    )
    node = Node(
        cfg=cfg,
        nonce=secrets.token_hex(NONCE_BYTES),
        cluster_state=ClusterState(),
        store_client=StoreClient(
            store_session,
            f'http://{store_address}',
            meters.count_store_call,
        ),
        engine_calls=engine_calls,
        meters=meters,
    )
    node.store_client.era.on_new_era = functools.partial(save_rows_again, node)
    node.limit_view = make_limit_view(node)
    brittle_targets = make_brittle_targets(node, target_notices)
    node.engine_calls.on_head = functools.partial(
        apply_response_headers,
        target_notices,
        node.limit_view,
        brittle_targets,
    )
    node.holder_link = HolderLink(
        peers=PeerClient(peer_session),
        find_lease=lambda: node.election.lease,
        find_local_holder=lambda: node.holder,
        make_node_row=node.node_row,
        list_running_calls=lambda: node.frontend.list_running_calls(),
        list_leaving_targets=target_notices.leaving_targets,
        on_reply=node.apply_holder_reply,
        on_lost=lambda: node.cluster_follower.restart_follows(),
        limit_view=node.limit_view,
        brittle_targets=brittle_targets,
    )
    node.cluster_follower = ClusterFollower(
        store=node.store_client,
        cluster_state=node.cluster_state,
        link=node.holder_link,
        is_holder=lambda: node.holder is not None,
        drain_notice_s=lambda: node.cfg.bounds.drain_s,
        entry_lapse_s=lambda: (
            ENTRY_LAPSE_HEARTBEATS * node.cfg.heartbeat_s + ENTRY_LAPSE_SLACK_S
        ),
        misses_notices=lambda: node.holder_link.replicated_view.misses_notices(
            cfg.name
        ),
    )
    node.election = Election(
        store=attrs.evolve(node.store_client, timeout_s=RENEWAL_TIMEOUT_S),
        name=cfg.name,
        address=cfg.peer_address,
        nonce=node.nonce,
        has_holder_contact=node.holder_link.has_contact,
        on_acquired=node.start_holder,
        on_lost=node.stop_holder,
        on_store_recovered=node.cluster_follower.restart_follows,
        survives_store_outage=cfg.bounds.orders_are_fenced,
        takeover_delay_s=0
        if cfg.bounds.orders_are_fenced
        else cfg.bounds.lease_s,
        count_members=lambda: node.candidates.count_members(),
        start_delay_s=max(1 - compute_strength(cfg), 0)
        * WEAK_NODE_ELECTION_DELAY_S,
        candidate_rank=lambda: node.candidates.candidate_rank(),
        ask_other_node=lambda: node.candidates.ask_other_node(),
        pending_rows=node.unsaved_rows,
        on_rows_saved=node.record_saved_rows,
        on_table_rows=node.holder_link.crash_view.stored_suspects.apply_rows,
    )
    node.candidates = Candidates(cfg, node.holder_link, node.election)
    target_chooser = TargetChooser(
        node_name=cfg.name,
        nonce=node.nonce,
        data_centre=cfg.data_centre,
        cluster_state=node.cluster_state,
        holder_link=node.holder_link,
        target_notices=target_notices,
        count_members=lambda: node.candidates.count_shares(),
        is_view_usable=node.cluster_follower.is_view_usable,
        is_view_fresh=node.cluster_follower.is_view_fresh,
        max_send_age_s=node.cluster_follower.max_send_age_s,
        find_resend_config=functools.partial(resend_config, node),
    )
    node.frontend = make_frontend(node, target_chooser, target_session, bounds)
    return node


async def _start_tasks(
    node: Node,
    log_stream: JsonStream,
    stack: contextlib.AsyncExitStack,
) -> None:
    await serve_endpoints(node, stack)
    gauge_updates = node.run_gauge_updates(lambda: log_stream.dropped)
    for background_task in (
        node.cluster_follower.deployment_follower.run(),
        node.cluster_follower.targets_follower.run(),
        node.election.run(),
        node.holder_link.send_heartbeats(),
        node.frontend.stall_detector.run_checks(),
        node.frontend.relay.paths.run_checks(),
        gauge_updates,
    ):
        start_task(background_task, stack)
    cfg = node.cfg
    log_event(
        Event.NODE_STARTED,
        node=cfg.name,
        nonce=node.nonce,
        front=cfg.front_address,
        peer=cfg.peer_address,
        data_centre=cfg.data_centre,
    )

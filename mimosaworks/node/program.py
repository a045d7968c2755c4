"""Composition root of the entry node."""

import asyncio
import contextlib
import functools
import secrets
import signal

import attrs

from mimosaworks.bounded_answers import AnswerBounds, HeldBytes
from mimosaworks.events import Event, JsonStream, json_logging, log_event
from mimosaworks.node.beliefs import Beliefs
from mimosaworks.node.chooser import Chooser
from mimosaworks.node.election import STORE_TIMEOUT_S, Election
from mimosaworks.node.electorate import Electorate, strength
from mimosaworks.node.exchange import Exchange
from mimosaworks.node.front import Front
from mimosaworks.node.holder_link import HolderLink
from mimosaworks.node.meters import Meters
from mimosaworks.node.node import Node, limit_view, resend_terms
from mimosaworks.node.pages import serve_pages
from mimosaworks.node.planned_stop import log_stopped, stop_node
from mimosaworks.node.sessions import open_session, open_target_session
from mimosaworks.node.target_notices import TargetNotices, read_head
from mimosaworks.node.views import Views
from mimosaworks.platform import (
    BootSettings,
    EngineCalls,
    StoreClient,
)
from mimosaworks.serving import start_task, stop_event
from mimosaworks.wire import PeerClient

NONCE_BYTES = 6
IDLE_TARGET_CONN_S = 6.0  # targets may close idle connections unannounced
IDLE_PEER_CONN_S = 20.0
LAPSE_BEATS = 3  # heartbeats of a target without which its entry lapses
# Writes of a store may come late, and its answers be behind by some seconds.
LAPSE_SLACK_S = 24.0
STORE_BYTES = 4000000  # a page of rows, which the store bounds to 1 MB
PEER_BYTES = 16000000  # all members, targets and levels of the largest size
WEAK_HANDICAP_S = 0.5  # some times the spread of the VMs' starts


async def run_node(
    cfg: BootSettings, boot_path: str, bounds: AnswerBounds
) -> None:
    """Serve until SIGTERM, then end what callers have begun.

    boot_path is the settings file, which SIGHUP has read again.
    """
    with json_logging() as log:
        stopping = stop_event()
        async with contextlib.AsyncExitStack() as stack:
            node = await _wire(cfg, bounds, stack)
            await _start(node, boot_path, log, stack)
            await stopping.wait()
            await stop_node(node)
        log_stopped(node, log.dropped)


async def _wire(
    cfg: BootSettings,
    bounds: AnswerBounds,
    stack: contextlib.AsyncExitStack,
) -> Node:
    store_session = await open_session(stack, IDLE_PEER_CONN_S, STORE_BYTES)
    target_session = await open_target_session(
        stack, IDLE_TARGET_CONN_S, bounds.answer_bytes
    )
    peer_session = await open_session(stack, IDLE_PEER_CONN_S, PEER_BYTES)
    store_address = cfg.store_address
    meters = Meters()
    notices = TargetNotices(
        find_born=lambda target: node.find_born(target),
        on_leaving=lambda target, born: node.link.news.note_leaving(
            target, born
        ),
        on_notice=meters.note_notice,
    )
    node = Node(
        cfg=cfg,
        nonce=secrets.token_hex(NONCE_BYTES),
        beliefs=Beliefs(),
        store=StoreClient(
            store_session, f'http://{store_address}', meters.note_store_call
        ),
        calls=EngineCalls(target_session),
        meters=meters,
    )
    node.limits = limit_view(node)
    node.calls.on_head = functools.partial(read_head, notices, node.limits)
    node.link = HolderLink(
        peers=PeerClient(peer_session),
        lease=lambda: node.election.lease,
        local=lambda: node.holder,
        row=node.row,
        running=lambda: node.front.running(),
        leaving=notices.leaving,
        on_reply=node.on_holder_reply,
        on_lost=lambda: node.views.ask_again(),
        limits=node.limits,
    )
    node.views = Views(
        store=node.store,
        beliefs=node.beliefs,
        link=node.link,
        is_holder=lambda: node.holder is not None,
        drain_s=lambda: node.cfg.bounds.drain_s,
        lapse_s=lambda: LAPSE_BEATS * node.cfg.heartbeat_s + LAPSE_SLACK_S,
    )
    node.election = Election(
        store=attrs.evolve(node.store, timeout_s=STORE_TIMEOUT_S),
        name=cfg.name,
        address=cfg.peer_address,
        nonce=node.nonce,
        hears_holder=node.link.is_up,
        on_taken=node.take_lease,
        on_lost=node.lose_lease,
        on_store_back=node.views.ask_again,
        survives=cfg.bounds.orders_are_fenced,
        quiet_s=0 if cfg.bounds.orders_are_fenced else cfg.bounds.lease_s,
        members=lambda: node.electorate.count_members(),
        handicap_s=max(1 - strength(cfg), 0) * WEAK_HANDICAP_S,
        eagerness=lambda: node.electorate.eagerness(),
        unsaved=node.unsaved,
        on_saved=node.note_saved,
        on_rows=node.link.crashes.stored.take_rows,
    )
    node.electorate = Electorate(cfg, node.link, node.election)
    chooser = Chooser(
        node=cfg.name,
        nonce=node.nonce,
        data_centre=cfg.data_centre,
        beliefs=node.beliefs,
        link=node.link,
        notices=notices,
        members=lambda: node.electorate.count_members(),
        is_view_usable=node.views.is_usable,
        resend_terms=functools.partial(resend_terms, node),
    )
    node.front = Front(
        chooser=chooser,
        exchange=Exchange(
            target_session,
            notices,
            node.limits,
            HeldBytes(bounds.held_bytes, bounds.all_held_bytes),
        ),
        meters=meters,
        stop_left_s=node.stop_left_s,
    )
    return node


async def _start(
    node: Node,
    boot_path: str,
    log: JsonStream,
    stack: contextlib.AsyncExitStack,
) -> None:
    loop = asyncio.get_running_loop()
    reload = functools.partial(node.reload, boot_path)
    loop.add_signal_handler(signal.SIGHUP, reload)
    await serve_pages(node, stack)
    meters = node.run_meters(lambda: log.dropped)
    for work in (
        node.views.desired_feed.run(),
        node.views.targets_feed.run(),
        node.election.run(),
        node.link.run(),
        node.front.pulse.run(),
        meters,
    ):
        start_task(work, stack)
    cfg = node.cfg
    log_event(
        Event.NODE_STARTED,
        node=cfg.name,
        nonce=node.nonce,
        front=cfg.front_address,
        peer=cfg.peer_address,
        data_centre=cfg.data_centre,
    )

"""Builds the parts of a node that send requests to targets."""

from aiohttp import ClientSession

from mimosaworks.bounded_answers import HeldBytes
from mimosaworks.clock import now_s
from mimosaworks.node.attempt_sender import AttemptSender
from mimosaworks.node.brittle_targets import BrittleTargets
from mimosaworks.node.end_judge import EndJudge
from mimosaworks.node.frontend import Frontend
from mimosaworks.node.held_bodies import HeldBodies
from mimosaworks.node.memory_bounds import MemoryBounds
from mimosaworks.node.node import Node
from mimosaworks.node.relay import Relay
from mimosaworks.node.relay_peers import RelayPeers
from mimosaworks.node.stall_detector import StallDetector
from mimosaworks.node.target_chooser import TargetChooser
from mimosaworks.node.target_identity import TargetIdentities
from mimosaworks.node.target_notices import TargetNotices
from mimosaworks.node.target_paths import TargetPaths, list_ready_addresses


def make_brittle_targets(
    node: Node, target_notices: TargetNotices
) -> BrittleTargets:
    """Return what a node knows of brittle targets, connected to its parts."""
    return BrittleTargets(
        on_note=lambda note: (
            node.holder_link.pending_updates.record_brittle_target(note)
        ),
        on_full=lambda target, pause_s: target_notices.record_pause(
            target, pause_s, now_s()
        ),
        list_rows=lambda: node.limit_view.limit_rows,
    )


def make_frontend(
    node: Node,
    target_chooser: TargetChooser,
    target_session: ClientSession,
    bounds: MemoryBounds,
) -> Frontend:
    """Return the frontend of a node, connected to its other parts."""
    paths = TargetPaths(
        lambda: list_ready_addresses(target_chooser.latest_targets())
    )
    relay_peers = RelayPeers(
        node.cfg.name,
        node.cfg.data_centre,
        paths,
        lambda: node.holder_link.replicated_view.members,
    )
    stall_detector = StallDetector()
    end_judge = EndJudge(
        target_chooser.latest_targets,
        earliest_s=stall_detector.earliest_arrival_s,
        find_read_targets=lambda: node.cluster_state.targets,
        identities=TargetIdentities(
            node.engine_calls.report, node.store_client
        ),
    )
    target_chooser.is_cut_off = lambda: paths.is_cut_off
    return Frontend(
        target_chooser=target_chooser,
        attempt_sender=AttemptSender(
            target_session,
            target_chooser.target_notices,
            node.limit_view,
            node.holder_link.brittle_targets,
            HeldBytes(bounds.answers.held_bytes, bounds.answers.all_held_bytes),
            relay_peers,
            end_judge,
        ),
        meters=node.meters,
        stop_remaining_s=node.stop_remaining_s,
        relay=Relay(
            paths,
            target_session,
            target_chooser.target_notices,
            target_chooser.latest_targets,
            node.stop_remaining_s,
            HeldBodies(bounds.body_bytes, node.meters.count_body_room),
            end_judge,
        ),
        stall_detector=stall_detector,
    )

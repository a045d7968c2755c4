"""Messages between the processes of the system, and their transport."""

from mimosaworks.wire.ack import Ack
from mimosaworks.wire.codec import decode, encode
from mimosaworks.wire.dispatch_messages import (
    Beat,
    BeatReply,
    CallAsk,
    CallEnd,
    CallReply,
    CallStart,
    NodeRow,
    PartNote,
    RunningCall,
    Spent,
)
from mimosaworks.wire.election_messages import (
    LeaseAsk,
    LeaseNotice,
    LeaseOffer,
    StoreProbe,
    StoreProbeReply,
)
from mimosaworks.wire.limits_messages import (
    TokenAsk,
    TokenBalance,
    TokenBalances,
    TokenGrant,
)
from mimosaworks.wire.members_messages import (
    FreshAnswer,
    FreshAsk,
    MemberRow,
    PushAck,
    VersionPush,
)
from mimosaworks.wire.peer_client import PeerClient
from mimosaworks.wire.peer_server import add_peer_handler, new_peer_app
from mimosaworks.wire.placement_messages import (
    Demand,
    ModelDemand,
    ReplicaEntry,
    ReplicaMap,
)
from mimosaworks.wire.routing_messages import SuspectNotice
from mimosaworks.wire.target_messages import (
    BrittleNote,
    CrashNote,
    LimitNote,
    LimitRow,
    StreamAsk,
    StreamNote,
    StreamReply,
    SuspectRow,
    TargetLeaving,
    TargetModel,
    TargetRow,
)

__all__ = [
    'Ack',
    'Beat',
    'BeatReply',
    'BrittleNote',
    'CallAsk',
    'CallEnd',
    'CallReply',
    'CallStart',
    'CrashNote',
    'LeaseAsk',
    'LeaseNotice',
    'LeaseOffer',
    'LimitNote',
    'LimitRow',
    'NodeRow',
    'PartNote',
    'RunningCall',
    'Spent',
    'StoreProbe',
    'StoreProbeReply',
    'StreamAsk',
    'StreamNote',
    'StreamReply',
    'SuspectRow',
    'TargetLeaving',
    'TargetModel',
    'TargetRow',
    'Demand',
    'FreshAnswer',
    'FreshAsk',
    'MemberRow',
    'ModelDemand',
    'PeerClient',
    'PushAck',
    'ReplicaEntry',
    'ReplicaMap',
    'SuspectNotice',
    'TokenAsk',
    'TokenBalance',
    'TokenBalances',
    'TokenGrant',
    'VersionPush',
    'add_peer_handler',
    'decode',
    'encode',
    'new_peer_app',
]

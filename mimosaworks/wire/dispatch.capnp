@0xb2d94f1c7e6a3058;
# Messages between entry nodes and the holder of the dispatch lease.

struct PartNote {
  part @0 :Text;
  tokens @1 :UInt32;
}

struct CallAsk {
  # Answered with CallReply once a target is chosen and ready.
  call @0 :Text;
  node @1 :Text;
  fence @2 :UInt64;
  service @3 :Text;
  workspace @4 :Text;
  cost @5 :Float64;
  priority @6 :Int32;
  model @7 :Text;
  adapter @8 :Text;
  tokensIn @9 :UInt32;
  tokensOut @10 :UInt32;
  tokensHint @11 :UInt32;
  parts @12 :List(PartNote);
  dataCentre @13 :Text;
  targetS @14 :Float64;
  leftS @15 :Float64;
  resends @16 :UInt32;
  excluded @17 :List(Text);
  mark @18 :Text;
  requestId @19 :Text;
  firstLeftS @20 :Float64;
  softwareVersion @21 :Text;
  isRelayed @22 :Bool;
}

struct CallReply {
  # kind is empty when a target was chosen, else an error kind.
  target @0 :Text;
  address @1 :Text;
  priority @2 :Int32;
  reason @3 :Text;
  kind @4 :Text;
  retryAfterS @5 :Float64;
  isCounted @6 :Bool;
  waitedS @7 :Float64;
  born @8 :UInt64;
  isTrial @9 :Bool;
  ended @10 :UInt32;
  viewAgeS @11 :Float64;
  softwareVersion @12 :Text;
}

struct CallStart {
  call @0 :Text;
  firstS @1 :Float64;
}

struct CallEnd {
  call @0 :Text;
  outcome @1 :Text;
  durationS @2 :Float64;
}

struct RunningCall {
  ask @0 :CallAsk;
  target @1 :Text;
  isStarted @2 :Bool;
}

struct Spent {
  workspace @0 :Text;
  cost @1 :Float64;
}

struct NodeRow {
  name @0 :Text;
  frontAddress @1 :Text;
  peerAddress @2 :Text;
  dataCentre @3 :Text;
  isStopping @4 :Bool;
  strength @5 :Float64;
  startedS @6 :Float64;
  relays @7 :Bool;
  judgesEnds @8 :Bool;
}

struct LeaseNotice {
  # A new holder tells the nodes; answered with Ack.
  holder @0 :Text;
  address @1 :Text;
  nonce @2 :Text;
  fence @3 :UInt64;
  version @4 :UInt64;
}

struct LeaseAsk {
  # Answered with LeaseNotice.
}

struct StoreProbe {
  # Answered with StoreProbeReply.
  after @0 :UInt64;
}

struct StoreProbeReply {
  isReached @0 :Bool;
}

struct LeaseOffer {
  # Answered with LeaseNotice.
  nonce @0 :Text;
}

struct TargetModel {
  model @0 :Text;
  adapters @1 :List(Text);
}

struct TargetRow {
  name @0 :Text;
  service @1 :Text;
  address @2 :Text;
  dataCentre @3 :Text;
  slots @4 :UInt32;
  state @5 :Text;
  born @6 :UInt64;
  models @7 :List(TargetModel);
  softwareVersion @8 :Text;
  leavesInMs @9 :UInt32;
}

struct Beat {
  # Answered with BeatReply.
  row @0 :NodeRow;
  fence @1 :UInt64;
  starts @2 :List(CallStart);
  ends @3 :List(CallEnd);
  running @4 :List(RunningCall);
  spent @5 :List(Spent);
  targetsVersion @6 :UInt64;
  membersVersion @7 :UInt64;
  wantsLevels @8 :Bool;
  leaving @9 :List(TargetLeaving);
  crashes @10 :List(CrashNote);
  suspectsVersion @11 :UInt64;
  limits @12 :List(LimitNote);
  limitsVersion @13 :UInt64;
  streams @14 :List(StreamNote);
  brittle @15 :List(BrittleNote);
}

struct LimitNote {
  # perS is infinite for an answer without a rate limit.
  target @0 :Text;
  perS @1 :Float64;
  call @2 :Text;
}

struct LimitRow {
  target @0 :Text;
  perS @1 :Float64;
  isBrittle @2 :Bool;
  mostRejectionsPerS @3 :UInt32;
}

struct CrashNote {
  mark @0 :Text;
  target @1 :Text;
  born @2 :UInt64;
  number @3 :UInt32;
  isSilent @4 :Bool;
  isProven @5 :Bool;
}

struct SuspectRow {
  mark @0 :Text;
  ends @1 :List(Text);
  isProven @2 :Bool;
}

struct BrittleNote {
  target @0 :Text;
  isBrittle @1 :Bool;
  isFull @2 :Bool;
  mostPerS @3 :UInt32;
  call @4 :Text;
}

struct StreamNote {
  requestId @0 :Text;
  service @1 :Text;
  softwareVersion @2 :Text;
  leftS @3 :Float64;
}

struct StreamAsk {
  # Answered with StreamReply.
  requestId @0 :Text;
}

struct StreamReply {
  service @0 :Text;
  softwareVersion @1 :Text;
}

struct TargetLeaving {
  target @0 :Text;
  born @1 :UInt64;
}

struct BeatReply {
  # targets, members, suspects and limits are those that changed since the node's
  # version of them, or all where they are whole.
  isHolder @0 :Bool;
  fence @1 :UInt64;
  members @2 :List(NodeRow);
  levels @3 :List(Spent);
  targetsVersion @4 :UInt64;
  targets @5 :List(TargetRow);
  intervalS @6 :Float64;
  leaseVersion @7 :UInt64;
  membersVersion @8 :UInt64;
  deploymentVersion @9 :UInt64;
  membersGone @10 :List(Text);
  targetsGone @11 :List(Text);
  membersWhole @12 :Bool;
  targetsWhole @13 :Bool;
  suspects @14 :List(SuspectRow);
  suspectsGone @15 :List(Text);
  suspectsWhole @16 :Bool;
  suspectsVersion @17 :UInt64;
  unsavedS @18 :Float64;
  limits @19 :List(LimitRow);
  limitsGone @20 :List(Text);
  limitsWhole @21 :Bool;
  limitsVersion @22 :UInt64;
  viewAgeS @23 :Float64;
  silent @24 :List(Text);
}

@0x8fdefbf61dedb49e;
# Messages of membership, freshness and the barrier.

struct MemberRow {
  address @0 :Text;
  httpAddress @1 :Text;
  role @2 :Text;
  dataCentre @3 :Text;
  bootNonce @4 :Text;
  state @5 :Text;
}

struct FreshAsk {
  # What the asking member holds, so that the answer brings what it lacks.
  version @0 :UInt64;
  view @1 :UInt64;
}

struct FreshAnswer {
  bootNonce @0 :Text;
  version @1 :UInt64;
  view @2 :UInt64;
  ageS @3 :Float64;
  # Age of the answering member's freshness; negative when it is not fresh.
  entries @4 :Text;
  # JSON of the configuration log entries that the asking member lacks.
  members @5 :List(MemberRow);
  # The members, when the asking member's view is older.
}

struct VersionPush {
  # Sent by a writer or a joining member until it is confirmed.
  sender @0 :Text;
  version @1 :UInt64;
  view @2 :UInt64;
  entries @3 :Text;
  members @4 :List(MemberRow);
}

struct PushAck {
  # What the receiver has in force.
  bootNonce @0 :Text;
  version @1 :UInt64;
  view @2 :UInt64;
}

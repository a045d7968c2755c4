@0xb6d2f1a84c0e97d3;
# Messages between routers and the placement shard's holder.

struct ReplicaEntry {
  model @0 :Text;
  target @1 :Text;
  state @2 :Text;
  adapters @3 :List(Text);
}

struct ReplicaMap {
  # Sent by the shard's holder to every router.
  fence @0 :UInt64;
  sequence @1 :UInt64;
  holder @2 :Text;
  replicas @3 :List(ReplicaEntry);
}

struct ModelDemand {
  model @0 :Text;
  adapter @1 :Text;
  waiting @2 :UInt32;
  waitingTokens @3 :UInt64;
  running @4 :UInt32;
  arrivals @5 :UInt32;
}

struct Demand {
  # A router's waiting and running work by model and adapter.
  router @0 :Text;
  models @1 :List(ModelDemand);
}

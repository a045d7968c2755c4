@0x9d3f0c5b7a21e486;
# Messages that several protocols share.

struct Ack {
  accepted @0 :Bool;
}

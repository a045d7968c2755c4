@0xe1c7a05d93b8f264;
# Messages between routers on crashes of targets.

struct SuspectNotice {
  mark @0 :Text;
  crashId @1 :Text;
  isCleared @2 :Bool;
}

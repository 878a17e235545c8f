@0xb7f0c2d95e14a3c9;

struct Payload {
  name @0 :Text;
  data @1 :Data;
}

struct Heartbeat {
  term @0 :UInt64;
  number @1 :UInt64;
  answers @2 :UInt64;
  leaseS @3 :Float64;
  join @4 :UInt64;
  version @5 :UInt64;
  storeDown @6 :Bool;
  suspected @7 :List(Text);
  notices @8 :List(Payload);
}

struct HeartbeatReply {
  term @0 :UInt64;
  number @1 :UInt64;
  heartbeat @2 :UInt64;
  join @3 :UInt64;
  lapsedJoin @4 :UInt64;
  applied @5 :UInt64;
  acknowledged @6 :UInt64;
  storeDown @7 :Bool;
  outageAgeS @8 :Float64;
  leaving @9 :Bool;
  reports @10 :List(Payload);
}

struct CoordinatorHint {
  term @0 :UInt64;
  instance @1 :Text;
  incarnation @2 :UInt64;
}

struct TableRequest {
  version @0 :UInt64;
}

struct TableDocument {
  term @0 :UInt64;
  version @1 :UInt64;
  document @2 :Data;
}

@0xc5a81f37e02b96d4;

struct DutyAnnouncement {
  duty @0 :Text;
  fence @1 :UInt64;
}

struct DutyStopped {
  duty @0 :Text;
  fence @1 :UInt64;
  instances @2 :List(Text);
  knowsAll @3 :Bool;
}

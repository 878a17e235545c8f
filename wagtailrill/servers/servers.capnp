@0xc5a90d17e2b64f83;

struct ServerEntry {
  name @0 :Text;
  service @1 :Text;
  address @2 :Text;
  dataCentre @3 :Text;
  slots @4 :UInt32;
  connectionsMax @5 :UInt32;
  state @6 :Text;
  startId @7 :Text;
  coldLeftS @8 :Float64;
  revision @9 :UInt64;
  sequence @10 :UInt64;
  saysLeaving @11 :Bool;
  version @12 :Text;
}

struct EntriesRequest {
  number @0 :UInt64;
  readerFence @1 :UInt64;
  version @2 :UInt64;
  doubted @3 :List(Text);
  mirrors @4 :List(MirrorRevision);
}

struct MirrorRevision {
  prefix @0 :Text;
  revision @1 :UInt64;
}

struct EntriesAnswer {
  number @0 :UInt64;
  readerFence @1 :UInt64;
  version @2 :UInt64;
  full @3 :Bool;
  ageS @4 :Float64;
  entries @5 :List(ServerEntry);
  gone @6 :List(Text);
  mirrors @7 :List(MirrorState);
  isHandingOver @8 :Bool;
}

struct MirrorState {
  prefix @0 :Text;
  lastChangeRevision @1 :UInt64;
  ageS @2 :Float64;
  isRelaying @3 :Bool;
  revision @4 :UInt64;
  items @5 :List(RelayedItem);
  removals @6 :List(RelayedRemoval);
}

struct RelayedItem {
  key @0 :Text;
  value @1 :Data;
  revision @2 :UInt64;
  createdRevision @3 :UInt64;
  leaseId @4 :UInt64;
}

struct RelayedRemoval {
  key @0 :Text;
  revision @1 :UInt64;
}

struct ServerLeaving {
  backendServer @0 :Text;
  startId @1 :Text;
}

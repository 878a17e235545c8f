@0xb6d1f3a9c4e27d60;

struct WaitingRequest {
  requestId @0 :UInt64;
  organisation @1 :Text;
  remainingS @2 :Float64;
}

struct PermitReport {
  backendServer @0 :Text;
  epoch @1 :UInt64;
  session @2 :UInt64;
  number @3 :UInt64;
  granted @4 :UInt64;
  returned @5 :UInt64;
  connects @6 :UInt64;
  settled @7 :UInt64;
  closed @8 :UInt64;
  spare @9 :UInt32;
  inUse @10 :UInt32;
  waitingTotal @11 :UInt32;
  waiting @12 :List(WaitingRequest);
  startId @13 :Text;
  uptimeS @14 :Float64;
  restarts @15 :UInt32;
  wantsReply @16 :Bool;
  seenAgeS @17 :Float64;
}

struct PermitGrant {
  backendServer @0 :Text;
  epoch @1 :UInt64;
  session @2 :UInt64;
  reportNumber @3 :UInt64;
  granted @4 :UInt64;
  connects @5 :UInt64;
  requestId @6 :UInt64;
  recall @7 :UInt32;
  close @8 :UInt32;
  queueLength @9 :UInt32;
  startId @10 :Text;
  shrinks @11 :Bool;
}

struct PartitionEpoch {
  partition @0 :UInt16;
  epoch @1 :UInt64;
}

struct CollectHoldings {
  partitions @0 :List(PartitionEpoch);
}

struct HoldingsReport {
  partitions @0 :List(PartitionEpoch);
  reports @1 :List(PermitReport);
}

@0xb3a1c5d27e90f412;

struct CollectHoldings {
  partition @0 :UInt16;
  epoch @1 :UInt64;
}

struct HolderAccount {
  organisation @0 :Text;
  number @1 :UInt32;
  grantedRate @2 :Int64;
  grantedBurst @3 :Int64;
  returnedRate @4 :Int64;
  returnedBurst @5 :Int64;
  returnedTokens @6 :Int64;
  demandPerS @7 :Float32;
  waiting @8 :UInt16;
}

struct HolderReport {
  partition @0 :UInt16;
  epoch @1 :UInt64;
  session @2 :UInt32;
  version @3 :UInt64;
  complete @4 :Bool;
  accounts @5 :List(HolderAccount);
}

struct HomeAccount {
  organisation @0 :Text;
  acknowledged @1 :UInt32;
  grantedRate @2 :Int64;
  grantedBurst @3 :Int64;
  grantedTokens @4 :Int64;
  answered @5 :Bool;
  denied @6 :Bool;
  recalled @7 :Bool;
  keepRate @8 :Int64;
  keepBurst @9 :Int64;
}

struct HomeGrant {
  partition @0 :UInt16;
  epoch @1 :UInt64;
  session @2 :UInt32;
  version @3 :UInt64;
  accounts @4 :List(HomeAccount);
}

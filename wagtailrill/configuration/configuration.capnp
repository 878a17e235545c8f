@0xb7d2a94c6e1f8053;

struct ConfigurationQuery {
  number @0 :UInt64;
  wantsDeclaration @1 :Bool;
  storeEra @2 :UInt64;
}

struct LostItem {
  key @0 :Text;
  isPresent @1 :Bool;
  revision @2 :UInt64;
  value @3 :Data;
  storedRevision @4 :UInt64;
}

struct ConfigurationAnswer {
  number @0 :UInt64;
  storeEra @1 :UInt32;
  isSettled @2 :Bool;
  restoredForS @3 :Float64;
  version @4 :UInt64;
  declaration @5 :Data;
  declarationRevision @6 :UInt64;
  lostItems @7 :List(LostItem);
}

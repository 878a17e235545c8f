@0xc3a94be07d5f1826;

struct ConfigurationPush {
  version @0 :UInt64;
  baseVersion @1 :UInt64;
  prefixBytes @2 :UInt32;
  suffixBytes @3 :UInt32;
  middle @4 :Data;
  digest @5 :UInt64;
  authority @6 :Bool;
}

struct ConfigurationRequest {
  version @0 :UInt64;
}

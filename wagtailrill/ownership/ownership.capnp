@0xb57c0c1de24a9f13;

struct BackendDoubt {
  backendServer @0 :Text;
}

struct BackendStatus {
  backendServer @0 :Text;
  reachable @1 :Bool;
}

struct KeyLoad {
  keyHash @0 :UInt64;
  ratePerS @1 :Float32;
}

struct LoadReport {
  service @0 :Text;
  slotRates @1 :Data;
  hotKeys @2 :List(KeyLoad);
}

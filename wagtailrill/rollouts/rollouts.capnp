@0xb7d3f0a4c6185e29;

struct CanaryGrant {
  service @0 :Text;
  orderRevision @1 :UInt64;
  granted @2 :UInt64;
  pace @3 :Float32;
  servers @4 :List(Text);
  record @5 :Data;
}

struct CanaryReport {
  service @0 :Text;
  orderRevision @1 :UInt64;
  total @2 :UInt64;
  exposed @3 :UInt64;
}

struct AttemptSample {
  route @0 :Text;
  server @1 :Text;
  isTarget @2 :Bool;
  failed @3 :Bool;
  ended @4 :Bool;
  latencyS @5 :Float32;
}

struct AttemptSamples {
  service @0 :Text;
  orderRevision @1 :UInt64;
  samples @2 :List(AttemptSample);
}

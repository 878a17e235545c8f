@0xe1c7640b92fd58a3;

struct PlaceRequest {
  number @0 :UInt64;
  service @1 :Text;
  keyPosition @2 :Int32;
  priority @3 :UInt16;
  waitedS @4 :Float32;
  targetS @5 :Float32;
  leftS @6 :Float32;
  excluded @7 :List(Text);
  extra @8 :Bool;
  route @9 :Text;
  idempotent @10 :Bool;
  bodyBytes @11 :UInt32;
  knownWorkS @12 :Float32;
  knownSpreadS @13 :Float32;
  knownResponseBytes @14 :Float32;
  knownCertainty @15 :Float32;
}

struct PlaceAnswer {
  number @0 :UInt64;
  verdict @1 :Text;
  backendServer @2 :Text;
  retryAfterS @3 :Float32;
  workS @4 :Float32;
  spreadS @5 :Float32;
  responseBytes @6 :Float32;
  certainty @7 :Float32;
}

struct PlaceEnd {
  number @0 :UInt64;
  service @1 :Text;
  backendServer @2 :Text;
  outcome @3 :Text;
  latencyS @4 :Float32;
  running @5 :Int32;
  waiting @6 :Int32;
  slowness @7 :Float32;
  pauseS @8 :Float32;
  responseBytes @9 :UInt32;
  expectedWorkS @10 :Float32;
}

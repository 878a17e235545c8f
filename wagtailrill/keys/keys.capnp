@0x9a3be7f5c2d14e61;

struct KeyRoutesUpdate {
  service @0 :Text;
  dutyFence @1 :UInt64;
  sequence @2 :UInt64;
  starts @3 :List(UInt32);
  owners @4 :List(UInt16);
  names @5 :List(Text);
}

struct KeyRoutesRequest {
  service @0 :Text;
  dutyFence @1 :UInt64;
  sequence @2 :UInt64;
}

struct KeyRoutesNotice {
  service @0 :Text;
  dutyFence @1 :UInt64;
  sequence @2 :UInt64;
}

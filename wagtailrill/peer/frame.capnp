@0xd1f0a53c6de1b7a1;

struct Frame {
  version @0 :UInt16;
  sender @1 :Text;
  incarnation @2 :UInt64;
  receiver @3 :Text;
  sequence @4 :UInt64;
  number @5 :UInt16;
  payload @6 :Data;
  receiverIncarnation @7 :UInt64;
}

@0x9d8c1f3ab5b0e6c4;

struct HeaderField {
  name @0 :Text;
  value @1 :Text;
}

struct ClaimRequest {
  claimId @0 :UInt64;
  partition @1 :UInt16;
  epoch @2 :UInt64;
  organisation @3 :Text;
  service @4 :Text;
  key @5 :Text;
  digest @6 :UInt64;
  issuedMs @7 :UInt64;
}

struct ClaimReply {
  claimId @0 :UInt64;
  verdict @1 :Text;
  status @2 :UInt16;
  headers @3 :List(HeaderField);
  body @4 :Data;
}

struct Completion {
  claimId @0 :UInt64;
  partition @1 :UInt16;
  organisation @2 :Text;
  service @3 :Text;
  key @4 :Text;
  outcome @5 :Text;
  status @6 :UInt16;
  headers @7 :List(HeaderField);
  body @8 :Data;
}

struct CompletionReply {
  claimId @0 :UInt64;
}

struct HandoverRecord {
  organisation @0 :Text;
  service @1 :Text;
  key @2 :Text;
  digest @3 :UInt64;
  issuedMs @4 :UInt64;
  claimant @5 :Text;
  claimantIncarnation @6 :UInt64;
  claimId @7 :UInt64;
  outcome @8 :Text;
  kept @9 :Bool;
  status @10 :UInt16;
  headers @11 :List(HeaderField);
  body @12 :Data;
}

struct Handover {
  partition @0 :UInt16;
  part @1 :UInt32;
  final @2 :Bool;
  sinceMs @3 :UInt64;
  records @4 :List(HandoverRecord);
  epoch @5 :UInt64;
}

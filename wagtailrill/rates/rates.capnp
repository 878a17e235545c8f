@0xd84c1a70b3f6e925;

struct TokenRequest {
  organisation @0 :Text;
  wanted @1 :UInt32;
  returned @2 :UInt32;
  number @3 :UInt64;
}

struct TokenGrant {
  organisation @0 :Text;
  tokens @1 :UInt32;
  dueInS @2 :Float64;
  number @3 :UInt64;
  issues @4 :Bool;
}

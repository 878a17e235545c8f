@0xc2fbb8a2a2c0d9e1;

struct CrashReport {
  reportId @0 :UInt64;
  partition @1 :UInt16;
  fingerprint @2 :UInt64;
  backendServer @3 :Text;
  startId @4 :Text;
}

struct CrashCleared {
  partition @0 :UInt16;
  fingerprint @1 :UInt64;
}

struct SuspectNotice {
  noticeId @0 :UInt64;
  fingerprint @1 :UInt64;
  crashes @2 :UInt16;
  expiresInS @3 :Float64;
}

struct SuspectAcknowledged {
  noticeId @0 :UInt64;
}

struct CrashRecorded {
  reportId @0 :UInt64;
}

@0xf2b86c1d9047ae35;

struct CrashNotice {
  fingerprint @0 :UInt64;
  backendServer @1 :Text;
  startId @2 :Text;
}

struct CrashCleared {
  fingerprint @0 :UInt64;
}

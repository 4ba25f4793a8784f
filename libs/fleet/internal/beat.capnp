@0xb7c2f1d09a5e4c36;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("cornelplank::fleet::schema");

struct Member {
  address @0 :UInt32;      # IPv4, host byte order
  incarnation @1 :UInt64;
  beat @2 :UInt32;
  zone @3 :UInt32;         # hash of the name
  state @4 :UInt8;
  configVersion @5 :UInt64;
  storeContact @6 :UInt8;
}

struct Offer {
  region @0 :UInt32;       # hash of the name
  service @1 :UInt32;      # hash of the name
  waitMs @2 :UInt32;
  ageMs @3 :UInt32;
}

struct Load {
  replica @0 :UInt32;
  requests @1 :UInt32;
  prefillTokens @2 :UInt32;
  memoryTokens @3 :UInt32;
}

struct Beat {
  sender @0 :Member;
  members @1 :List(Member);
  offers @2 :List(Offer);
  loads @3 :List(Load);
  hasLoads @4 :Bool;
}

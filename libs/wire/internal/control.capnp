@0xe1c0b7a9d2f46083;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("cornelplank::wire::schema");

struct Vm {
  id @0 :Text;
  partner @1 :Text;
  region @2 :Text;
  zone @3 :Text;
  rpc @4 :Text;
  http @5 :Text;
  incarnation @6 :UInt64;
  leaving @7 :Bool;
}

struct ReplicaLoad {
  index @0 :UInt16;
  running @1 :UInt16;
  queued @2 :UInt16;
  state @3 :UInt8;
  age @4 :UInt8;
}

struct ClassDemand {
  rate @0 :UInt16;
  queued @1 :UInt16;
}

struct ZoneSum {
  zone @0 :UInt8;
  age @1 :UInt8;
  slots @2 :UInt16;
  running @3 :UInt16;
  seqLag @4 :UInt16;
  queued01 @5 :UInt32;
  queued23 @6 :UInt32;
  queued45 @7 :UInt32;
  queued67 @8 :UInt32;
}

struct VmChange {
  vm @0 :Vm;
  age @1 :UInt8;
}

struct Rare {
  staleReplicas @0 :List(UInt16);
  staleZones @1 :List(UInt8);
  vms @2 :List(VmChange);
}

struct Gossip {
  seq @0 :UInt64;
  digest @1 :UInt32;
  namesHash @2 :UInt32;
  version @3 :UInt32;
  seen @4 :UInt32;
  headLead @5 :UInt16;
  headAge @6 :UInt8;
  leaving @7 :Bool;
  regionAges @8 :List(UInt8);
  loads @9 :List(ReplicaLoad);
  demand @10 :List(ClassDemand);
  sums @11 :List(ZoneSum);
  rare @12 :Rare;
}

struct Pull {
  after @0 :UInt64;
}

struct PullAnswer {
  union {
    nothing @0 :Void;
    page @1 :Text;
    snapshot @2 :Text;
  }
}

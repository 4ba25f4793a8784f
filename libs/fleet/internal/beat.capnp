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
  replicaLinks @7 :UInt8;
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

# Takes the place of Load in a list of loads of which at least one says something of a replica's speed. The
# fields of Load come first, so that a list of either type can be read as one of the other.
struct PacedLoad {
  replica @0 :UInt32;
  requests @1 :UInt32;
  prefillTokens @2 :UInt32;
  memoryTokens @3 :UInt32;
  log2Unit @4 :Int16;        # of the milliseconds for a unit of work, in steps of 1/64
  observations @5 :UInt8;    # behind log2Unit
  statedAge @6 :UInt8;       # of statedPercent, in steps of 10 ms
  statedPercent @7 :UInt16;  # time for a unit, of the usual time
}

# A request whose replica crashed before its answer began.
struct Crash {
  reporter @0 :UInt32;     # VM that saw it
  incarnation @1 :UInt64;  # of the reporter
  sequence @2 :UInt32;
  replica @3 :UInt32;
  parts @4 :List(UInt64);  # suspected parts of its prompt
  ageMs @5 :UInt32;
}

# A prompt part with which an answer has begun.
struct Clearance {
  part @0 :UInt64;
  ageMs @1 :UInt32;
}

struct Verdict {
  part @0 :UInt64;
  level @1 :UInt32;
  ageMs @2 :UInt32;
}

# What a replica stated about its limits: the rate of requests that it takes, and of those that it can reject.
struct Limit {
  replica @0 :UInt32;
  limited @1 :Bool;
  milliPerSecond @2 :UInt64;
  ageMs @3 :UInt32;
  rejectionsLimited @4 :Bool;
  rejectionsPerSecond @5 :UInt32;
  # Whether the sender knows limits of rejections at all; earlier releases don't.
  rejectionsKnown @6 :Bool;
}

struct CoveredVm {
  address @0 :UInt32;
  beat @1 :UInt32;
}

# The loads of several VMs, added up.
struct LoadSum {
  wholeRegion @0 :Bool;
  ageMs @1 :UInt32;
  vms @2 :List(CoveredVm);
  loads @3 :List(Load);
}

struct Beat {
  sender @0 :Member;
  members @1 :List(Member);
  offers @2 :List(Offer);
  loads @3 :List(Load);
  hasLoads @4 :Bool;
  crashes @5 :List(Crash);
  clearances @6 :List(Clearance);
  verdicts @7 :List(Verdict);
  limits @8 :List(Limit);
  sum @9 :LoadSum;
}

# What a VM tells another about the quota of a tenant; tenancy::QuotaMessage explains the fields. Amounts are
# in thousandths.
struct Quota {
  kind @0 :UInt8;
  forwarded @1 :Bool;
  tenant @2 :UInt64;       # hash of the name
  sequence @3 :UInt64;
  origin @4 :UInt32;
  milliAmount @5 :UInt64;
  milliExtra @6 :UInt64;
  milliDemand @7 :UInt64;
  retryMs @8 :UInt32;
  regionVms @9 :UInt32;
  elsewhere @10 :UInt32;
}

# The types below carry what StreamOriginExchange tells other VMs; stream_origin_exchange.h explains the fields.
struct OriginRecords {
  software @0 :UInt64;
  attempts @1 :List(UInt64);
}

struct OriginQuery {
  sequence @0 :UInt64;
  attempt @1 :UInt64;
  services @2 :List(UInt64);
}

struct OriginAnswer {
  sequence @0 :UInt64;
  software @1 :UInt64;
  kind @2 :UInt8;
}

struct Origins {
  records @0 :List(OriginRecords);
  queries @1 :List(OriginQuery);
  answers @2 :List(OriginAnswer);
}

# A Beat with one more list. Datagrams without quotas have the layout of Beat, which has the same other fields,
# so that they stay as short as before.
struct QuotaBeat {
  sender @0 :Member;
  members @1 :List(Member);
  offers @2 :List(Offer);
  loads @3 :List(Load);
  hasLoads @4 :Bool;
  crashes @5 :List(Crash);
  clearances @6 :List(Clearance);
  verdicts @7 :List(Verdict);
  limits @8 :List(Limit);
  sum @9 :LoadSum;
  quotas @10 :List(Quota);
}

# The same for datagrams about the origins of streams.
struct OriginBeat {
  sender @0 :Member;
  members @1 :List(Member);
  offers @2 :List(Offer);
  loads @3 :List(Load);
  hasLoads @4 :Bool;
  crashes @5 :List(Crash);
  clearances @6 :List(Clearance);
  verdicts @7 :List(Verdict);
  limits @8 :List(Limit);
  sum @9 :LoadSum;
  quotas @10 :List(Quota);
  origins @11 :Origins;
}

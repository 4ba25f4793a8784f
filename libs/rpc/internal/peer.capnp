@0xc3a4d1f09be27715;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("cornelplank::rpc::wire");

struct Header {
  name @0 :Text;
  value @1 :Text;
}

enum Kind {
  completion @0;
  serviceCall @1;
  mintTicket @2;
}

enum Outcome {
  notRun @0;
  ran @1;
  unknown @2;
}

struct Forward {
  attemptId @0 :Text;
  kind @1 :Kind;
  remainingMs @2 :UInt32;
  configSeq @3 :UInt64;
  visitedZones @4 :List(Text);
  clientId @5 :Text;
  partner @6 :Text;
  priorityClass @7 :Text;
  home @8 :Text;
  residency @9 :Text;
  target @10 :Text;
  method @11 :Text;
  path @12 :Text;
  headers @13 :List(Header);
  body @14 :Data;
  ticket @15 :Text;
  resumeTokens @16 :UInt32;
}

struct End {
  whole @0 :Bool;
  code @1 :Text;
  detail @2 :Text;
  outcome @3 :Outcome;
  retryAfterMs @4 :UInt32;
}

interface AnswerSink {
  head @0 (status :UInt16, headers :List(Header)) -> ();
  data @1 (bytes :Data) -> stream;
  end @2 (end :End) -> ();
}

interface Peer {
  forward @0 (request :Forward, sink :AnswerSink) -> ();
  # Returns when the answer has ended and the sink has been told.

  ping @1 () -> ();

  control @2 (kind :UInt16, payload :Data) -> (payload :Data);
  # One exchange of the control plane; `kind` names the message in `payload`.
}

struct Identity {
  vm @0 :Text;
  incarnation @1 :UInt64;
  card @2 :Data;
  # What else the VM says of itself; opaque to this protocol.
}

interface Door {
  challenge @0 () -> (nonce :Data);
  login @1 (caller :Identity, nonce :Data, proof :Data) -> (peer :Peer, callee :Identity);
  # `proof` is HMAC-SHA256(shared key, nonce + vm). A nonce is accepted once.
}

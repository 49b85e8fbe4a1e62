@0xc7a4e0d1b6f23895;
# Messages between gateways. On the socket each message is one frame: a 4-byte
# big-endian length followed by the message, in the packed encoding on control
# links and in the standard stream encoding otherwise.

struct Message {
  union {
    challenge @0 :Challenge;
    identify @1 :Identify;
    welcome @2 :Welcome;
    heartbeat @3 :Heartbeat;
    loadReport @4 :List(HomeLoad);
    request @5 :Request;
    reply @6 :Reply;
    callHead @7 :CallHead;
    accepted @8 :Void;
    bodyChunk @9 :BodyChunk;
    answerHead @10 :AnswerHead;
    answerEnd @11 :AnswerEnd;
    callError @12 :CallError;
    ping @13 :Void;
    pong @14 :Void;
  }
}

enum LinkKind {
  control @0;
  call @1;
}

enum RunMark {
  unknown @0;
  notRun @1;
}

# First message of the handshake, sent by the listener.
struct Challenge {
  nonce @0 :Data;
}

# Answer of the dialer to the challenge. Its fields, except `mac`, are inputs of
# both MACs; the listener's MAC also covers the listener's id.
struct Identify {
  gatewayId @0 :Text;
  # Empty when the dialer knows only the listener's address.
  targetId @1 :Text;
  linkKind @2 :LinkKind;
  nonce @3 :Data;
  mac @4 :Data;
  # Advertised peer address of the dialer.
  address @5 :Text;
}

# Answer of the listener, which authenticates it.
struct Welcome {
  mac @0 :Data;
  gatewayId @1 :Text;
}

struct HomeLoad {
  service @0 :Text;
  zone @1 :Text;
  freeSlots @2 :UInt32;
  queued @3 :UInt32;
  waitUs @4 :UInt32;
}

struct Heartbeat {
  gatewayId @0 :Text;
  boot @1 :Text;
  generation @2 :UInt64;
  httpAddress @3 :Text;
  leaving @4 :Bool;
  homes @5 :List(HomeLoad);
  # Timestamps in microseconds, which give the round trip time: the sender's
  # monotonic clock, `sentUs` of the last heartbeat that the sender received,
  # and the time since that one arrived.
  sentUs @6 :UInt64;
  echoUs @7 :UInt64;
  echoDelayUs @8 :UInt64;
  # All fields except the timestamps are as last sent on this link and omitted.
  unchanged @9 :Bool;
}

# A request on the control link, answered by a Reply.
struct Request {
  id @0 :UInt64;
  kind @1 :Text;
  payload @2 :Data;
  deadlineUnixMs @3 :UInt64;
}

struct Reply {
  id @0 :UInt64;
  payload @1 :Data;
  # Empty on success.
  errorCode @2 :Text;
  mark @3 :RunMark;
}

# `headers` alternates names and values, which costs half as much in Python as
# a list of structs.
struct CallHead {
  id @0 :UInt64;
  service @1 :Text;
  zone @2 :Text;
  method @3 :Data;
  target @4 :Data;
  headers @5 :List(Data);
  deadlineUnixMs @6 :UInt64;
  attempt @7 :UInt16;
  hop @8 :UInt16;
  # First chunk of the body; the whole body when `last` is true.
  body @9 :Data;
  last @10 :Bool;
}

struct BodyChunk {
  data @0 :Data;
  last @1 :Bool;
}

struct AnswerHead {
  id @0 :UInt64;
  status @1 :UInt16;
  headers @2 :List(Data);
  # Length of the whole body, or -1 when it is not known yet.
  length @3 :Int64;
  body @4 :Data;
  last @5 :Bool;
}

# End of an answer whose AnswerHead has `last` false.
struct AnswerEnd {
  id @0 :UInt64;
  bodyBytes @1 :UInt64;
}

struct CallError {
  id @0 :UInt64;
  code @1 :Text;
  mark @2 :RunMark;
}

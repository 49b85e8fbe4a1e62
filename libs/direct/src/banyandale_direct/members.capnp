@0xd7c1f0a35b2e9481;

# A datagram between gateways.
struct Digest {
  # IPv4 address of the sender.
  sender @0 :UInt32;
  # Whether the sender reads the store and gets answers.
  reading @1 :Bool;
  members @2 :List(Member);
  # Store version up to which the sender holds each kind.
  held @3 :List(Held);
  # Changes that the sender has just received.
  deltas @4 :List(Delta);
}

struct Member {
  ip @0 :UInt32;
  # Index of its zone in the sorted names of all zones.
  zone @1 :UInt8;
  # Whether it may be listed to callers.
  ready @2 :Bool;
  # Heartbeat counter, incremented once per round.
  beat @3 :UInt32;
  # Start time of the process in Unix milliseconds.
  startedUnixMs @4 :UInt64;
}

struct Held {
  kind @0 :Text;
  version @1 :UInt64;
}

# Changes of one kind after the version `since`, up to `version`.
struct Delta {
  kind @0 :Text;
  since @1 :UInt64;
  version @2 :UInt64;
  # Whether `items` contains all objects of the kind instead of changes.
  complete @3 :Bool;
  items @4 :List(Item);
}

struct Item {
  name @0 :Text;
  version @1 :UInt64;
  deleted @2 :Bool;
  value @3 :Data;
}

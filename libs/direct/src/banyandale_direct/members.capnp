@0xd7c1f0a35b2e9481;

# One datagram between gateways.
struct Digest {
  # IPv4 number of the sender.
  sender @0 :UInt32;
  # Whether the sender reads the store and the store answers it.
  reading @1 :Bool;
  members @2 :List(Member);
  # Up to which store version the sender holds each kind.
  held @3 :List(Held);
  # Changes that the sender has just learned.
  deltas @4 :List(Delta);
}

struct Member {
  ip @0 :UInt32;
  # Place of its zone in the sorted names of all zones.
  zone @1 :UInt8;
  # Whether callers may be sent there.
  ready @2 :Bool;
  # Rises by one per round while the process runs.
  beat @3 :UInt32;
  # Unix milliseconds of the start of the process.
  startedUnixMs @4 :UInt64;
}

struct Held {
  kind @0 :Text;
  version @1 :UInt64;
}

# What changed in one kind after the version `since`, up to `version`.
struct Delta {
  kind @0 :Text;
  since @1 :UInt64;
  version @2 :UInt64;
  # Whether `items` are all objects of the kind instead of changes.
  complete @3 :Bool;
  items @4 :List(Item);
}

struct Item {
  name @0 :Text;
  version @1 :UInt64;
  deleted @2 :Bool;
  value @3 :Data;
}

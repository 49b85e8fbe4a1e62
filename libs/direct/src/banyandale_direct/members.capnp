@0xd7c1f0a35b2e9481;

# A datagram between gateways.
struct Digest {
  # IPv4 address of the sender.
  sender @0 :UInt32;
  # Whether the sender reads the store and gets answers.
  reading @1 :Bool;
  # Rows of 18 bytes, in network byte order: IPv4 address (4), index of the zone
  # in the sorted names of all zones (1), whether it may be listed to callers
  # (1), heartbeat counter (4), start time of the process in Unix
  # milliseconds (8). The first bytes of all rows come first, then the second
  # bytes, and so on.
  members @2 :Data;
  # Store version up to which the sender holds each kind.
  held @3 :List(Held);
  # Changes that the sender has just received.
  deltas @4 :List(Delta);
  # What servers last said about their limits.
  limits @5 :List(NamedLimit);
  # Version that operators gave the configuration in force; 0 without one.
  configuration @6 :UInt64;
  # Contents under which servers have ended.
  crashRecords @7 :List(CrashRecord);
  # Whether the sender has read the records of earlier processes.
  recordsLoaded @8 :Bool;
  # Whether `crashRecords` contains all records of the sender.
  recordsComplete @9 :Bool;
  # One byte per row of `members`, in their order: groups of services whose
  # servers the gateway does not reach. Empty if there are none.
  impaired @10 :Data;
}

struct CrashRecord {
  # Digest of 16 bytes of the content of a call.
  fingerprint @0 :Data;
  crashes @1 :List(Crash);
  # Whether a server has answered the content, and the time since then.
  answered @2 :Bool;
  answeredAgeMs @3 :UInt64;
  # Time until the record expires.
  keepMs @4 :UInt32;
}

struct Crash {
  # Id of the server that ended.
  server @0 :Text;
  # Start of its process in Unix milliseconds.
  startedUnixMs @1 :Int64;
  # Time since the connection to it broke.
  ageMs @2 :UInt64;
  # Number of crashes that were known when the call was sent.
  order @3 :UInt8;
  # Value of `CrashState`.
  state @4 :UInt8;
}

struct NamedLimit {
  # Id of the server.
  server @0 :Text;
  # Start of the server's process in Unix milliseconds.
  startedUnixMs @1 :Int64;
  # Whether it names a limit; otherwise it has ended.
  limited @2 :Bool;
  # Calls per second that it takes from all gateways together.
  callsPerSecond @3 :Float64;
  # Time since it said so.
  ageMs @4 :UInt32;
}

struct Held {
  kind @0 :Text;
  # Revision of the store.
  version @1 :UInt64;
  # Number of times that the store came back from an older copy.
  era @2 :UInt64;
}

# Changes of one kind after the revision `since`, up to `version`.
struct Delta {
  kind @0 :Text;
  since @1 :UInt64;
  version @2 :UInt64;
  # Whether `items` contains all objects of the kind instead of changes.
  complete @3 :Bool;
  items @4 :List(Item);
  # Era of the revisions.
  era @5 :UInt64;
}

struct Item {
  name @0 :Text;
  version @1 :UInt64;
  deleted @2 :Bool;
  value @3 :Data;
}

@0xd7c1f0a35b2e9481;

# One datagram between gateways: what the sender knows of all of them.
struct Digest {
  members @0 :List(Member);
}

struct Member {
  # Name of the gateway's node.
  name @0 :Text;
  zone @1 :Text;
  # Address for callers and address for these datagrams, both ip:port.
  callAddress @2 :Text;
  peerAddress @3 :Text;
  # Unix milliseconds of the start of the process.
  startedUnixMs @4 :UInt64;
  # Rises by one per round while the process runs.
  beat @5 :UInt64;
  # Whether callers may be sent there.
  ready @6 :Bool;
}

# Gossip datagrams and pages of the full-state transfer. Messages are sent in the
# packed encoding.
@0xb7e2c91f5a3d8046;

enum Liveness {
  alive @0;
  suspect @1;
  dead @2;
}

enum TargetState {
  starting @0;
  serving @1;
  ejected @2;
  leaving @3;
}

struct Instance {
  version @0 :UInt32;
  liveness @1 :Liveness;
  leaving @2 :Bool;
  dataCentre @3 :Text;
  peerHost @4 :Text;
  peerPort @5 :UInt16;
  # Empty when it equals the peer host.
  gossipHost @6 :Text;
  gossipPort @7 :UInt16;
  # Empty when it equals the peer host.
  operatorsHost @8 :Text;
  operatorsPort @9 :UInt16;
}

struct Target {
  id @0 :Text;
  version @1 :UInt32;
  service @2 :Text;
  # Empty when it equals the peer host of the member in the same message.
  host @3 :Text;
  port @4 :UInt16;
  slots @5 :UInt16 = 3;
  state @6 :TargetState = serving;
  gone @7 :Bool;
  weightPercent @8 :UInt8 = 100;
  # Seconds for which the target has been serving, capped at 255.
  servingSeconds @9 :UInt8 = 255;
  # Incarnation of the target itself; 0 unless it is leaving.
  leavingIncarnation @10 :UInt64;
  # Number of times that the target has become cold again, modulo 2^16.
  coldStarts @11 :UInt16;
}

# Records of one owner; its id and incarnation are sent once for all of them.
struct Member {
  id @0 :Text;
  incarnation @1 :UInt64;
  instance @2 :Instance;  # null if only targets are sent
  targets @3 :List(Target);
}

struct Ping {
  # Set if a relay pings on behalf of another instance.
  origin @0 :Text;
  originHost @1 :Text;
  originPort @2 :UInt16;
  originSequence @3 :UInt32;
}

struct PingRequest {
  host @0 :Text;
  port @1 :UInt16;
}

struct Broadcast {
  origin @0 :Text;
  incarnation @1 :UInt64;
  serial @2 :UInt32;
  topic @3 :Text;  # empty: the payload is a Records message
  payload @4 :Data;
}

struct Summary {
  # Numbers of the listed buckets.
  buckets @0 :Data;
  # Pairs of id hash and member digest, four bytes each.
  entries @1 :Data;
}

struct FetchItem {
  member @0 :UInt32;  # hash of the member id
  held @1 :Data;      # hashes of the records that the sender holds
}

struct Fetch {
  items @0 :List(FetchItem);
  # Set if this fetch answers another fetch; the receiver does not reply with a
  # fetch again.
  second @1 :Bool;
}

struct Records {
  members @0 :List(Member);
}

struct Datagram {
  sender @0 :Text;
  incarnation @1 :UInt64;
  sequence @2 :UInt32;
  members @3 :List(Member);
  # Short ids of broadcasts that the sender received recently.
  recent @4 :Data;
  union {
    ping @5 :Ping;
    # True if the direct ping with this sequence number was received.
    ack @6 :Bool;
    pingRequest @7 :PingRequest;
    relayedAck @8 :Bool;
    broadcast @9 :Broadcast;
    want @10 :Data;
    digest @11 :Data;
    summary @12 :Summary;
    fetch @13 :Fetch;
    update @14 :Void;
  }
  # Pairs of content hash and version, four bytes each, for instance records that
  # the receiver holds with another version. The highest bit of the version marks
  # a suspect.
  claims @15 :Data;
  # Configuration revision that the sender runs; 0 before the first.
  revision @16 :UInt64;
  # Token of the evacuations that the sender knows; 0 if it knows none or does
  # not follow them.
  evacuations @17 :UInt64;
}

# Body of the peer call `membership.state`.
struct StateRequest {
  after @0 :Text;
}

struct StatePage {
  members @0 :List(Member);
  # Last id of the page; empty on the last page.
  next @1 :Text;
}

# Frames on the TCP connection between two instances.
@0xd1c3a5b7f0e24681;

struct Hello {
  instance @0 :Text;
  incarnation @1 :UInt64;
  version @2 :UInt16;
}

struct Open {
  method @0 :Text;
  path @1 :Text;
  # Names and values in turn, separated by NUL, which no header may contain.
  headers @2 :Data;
  account @3 :Text;
  service @4 :Text;
  target @5 :Text;
  timeoutMs @6 :UInt32;
  repeatable @7 :Bool;
  traceparent @8 :Text;
  attempt @9 :UInt16;
  weight @10 :Float32;
  fingerprint @11 :Data;
  # Set when a third instance must relay the stream to this instance.
  relayTo @12 :Text;
  insist @13 :UInt8;
  priority @14 :UInt16;
  objectiveMs @15 :UInt32;
  # The agent asks before it hands the request to the target.
  confirm @16 :Bool;
  # Targets that have had the request before, or have another copy of it.
  arrivals @17 :UInt16;
}

struct Head {
  status @0 :UInt16;
  headers @1 :Data;  # as in Open
  # Load of the target when the head was sent.
  slotsInUse @2 :UInt16;
  queued @3 :UInt16;
}

struct Reset {
  code @0 :Text;
  executed @1 :Bool;  # true: unknown, false: not run
  message @2 :Text;
  status @3 :UInt16;
  retryAfterMs @4 :UInt32;
  slotsInUse @5 :UInt16;
  queued @6 :UInt16;
}

struct Call {
  method @0 :Text;
  body @1 :Data;
}

struct Reply {
  code @0 :Text;  # empty on success
  body @1 :Data;
}

struct Frame {
  # Stream or call id; zero for frames about the link itself.
  id @0 :UInt64;
  union {
    hello @1 :Hello;
    open @2 :Open;
    head @3 :Head;
    data @4 :Data;
    end @5 :Void;
    reset @6 :Reset;
    window @7 :UInt32;
    ping @8 :UInt64;
    pong @9 :UInt64;
    call @10 :Call;
    reply @11 :Reply;
    granted @12 :Void;
    go @13 :Void;
  }
}

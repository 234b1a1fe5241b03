# Frames of the TCP connection between two instances.
@0xd1c3a5b7f0e24681;

struct Hello {
  instance @0 :Text;
  incarnation @1 :UInt64;
  version @2 :UInt16;
}

struct Open {
  method @0 :Text;
  path @1 :Text;
  # Alternating names and values, separated by NUL, which no header may contain.
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
  # Id of the instance to which the receiver relays the stream; empty if the
  # receiver is the agent.
  relayTo @12 :Text;
  insist @13 :UInt8;
  priority @14 :UInt16;
  objectiveMs @15 :UInt32;
  # Whether the agent sends `granted` and waits for `go` before it sends the
  # request to the target.
  confirm @16 :Bool;
  # Number of targets that received the request earlier or have another copy.
  arrivals @17 :UInt16;
}

struct Head {
  status @0 :UInt16;
  headers @1 :Data;  # as in Open
  # Load of the target at the time the head is sent.
  slotsInUse @2 :UInt16;
  queued @3 :UInt16;
  # Usual time of a request in ms, and percentage of failed ones; zero if the
  # sender does not know them.
  serviceMs @4 :UInt16;
  failedPercent @5 :UInt8;
  ending @6 :Bool;  # whether slotsInUse includes the request of this head
}

struct Reset {
  code @0 :Text;
  executed @1 :Bool;  # true: unknown, false: not executed
  message @2 :Text;
  status @3 :UInt16;
  retryAfterMs @4 :UInt32;
  slotsInUse @5 :UInt16;
  queued @6 :UInt16;
  serviceMs @7 :UInt16;  # this and the next as in Head
  failedPercent @8 :UInt8;
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
  # Id of the stream or call; zero for frames of the link itself.
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

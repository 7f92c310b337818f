# The RPC protocol between entry hosts. The bootstrap capability of a connection
# is a Gate; it returns the Peer capability after mutual authentication with the
# fleet secret.
@0xc5c2a0f0d6a14b7e;

interface Gate {
  # Sends the client's nonce; the reply proves that the server knows the secret.
  # `error` is the code of a refusal, or empty.
  hello @0 (protocol :UInt32, host :Text, nonce :Data)
      -> (error :Text, protocol :UInt32, host :Text, nonce :Data, proof :Data);

  # Proves that the client knows the secret, once per connection.
  authenticate @1 (proof :Data) -> (error :Text, peer :Peer);
}

interface Peer {
  gossip @0 (message :GossipMessage) -> (reply :GossipMessage);

  # Returns one chunk of the rows changed after version `since`. The first call
  # passes version 0, later ones the version of the first reply. `size` is that
  # of the whole delta in bytes.
  fetchDelta @1 (since :UInt64, version :UInt64, offset :UInt64)
      -> (version :UInt64, size :UInt64, chunk :Data);

  heartbeat @2 (heartbeat :Heartbeat) -> (answer :Acknowledgement);

  # Opens a handover: returns the receiver's incarnation and monotonic time.
  openHandover @3 () -> (incarnation :Text, openedS :Float64);

  # Hands over a session, repeating the fields of the opening. `taken` is false
  # if the receiver has not taken over this session.
  handOver @4 (incarnation :Text, openedS :Float64, content :Data)
      -> (taken :Bool);
}

# Sent by the holder of a session to its witness.
struct Heartbeat {
  session @0 :Text;
  term @1 :UInt64;
  sequence @2 :UInt64;
}

struct Acknowledgement {
  host @0 :Text;
  incarnation @1 :Text;
  term @2 :UInt64;
  session @3 :Text;
  sequence @4 :UInt64;
  accepted @5 :Bool;
  waived @6 :Bool;
}

enum HostState {
  live @0;
  leaving @1;
  suspected @2;
}

struct Profile {
  region @0 :Text;
  zone @1 :Text;
  callerAddress @2 :Text;
  peerAddress @3 :Text;
}

struct MemberEntry {
  host @0 :Text;
  incarnation @1 :UInt64;
  heartbeat @2 :UInt64;
  state @3 :HostState;
  profile @4 :Profile;  # Null if omitted.
}

struct Word {
  host @0 :Text;
  ageS @1 :Float64;
}

struct GossipMessage {
  sender @0 :MemberEntry;
  version @1 :UInt64;
  knownHosts @2 :UInt32;
  confirmedAgeS @3 :Float64 = inf;
  words @4 :List(Word);
  entries @5 :List(MemberEntry);
  wants @6 :List(Text);
  probes @7 :List(Text);
  reached @8 :List(Text);
}

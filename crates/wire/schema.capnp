@0xbf0e3c5a4d3f1c77;
# Messages between the processes of the system.
#
# Fields are only ever added: a receiver with an older version ignores unknown
# fields, and a receiver with a newer version sees the defaults.

struct Hello {
  protocol @0 :UInt32;       # highest version that the sender supports
  role @1 :Text;             # entry, companion or data
  vm @2 :Text;
  incarnation @3 :UInt64;    # generated at each start of a process
  configRevision @4 :UInt64; # active revision at the sender
  failureDomain @5 :Text;
  proof @6 :Data;            # HMAC over the nonces of both sides
  nonce @7 :Data;
}

struct Header {
  name @0 :Text;
  value @1 :Text;
}

struct Request {
  requestId @0 :Text;
  attempt @1 :UInt32;
  tenant @2 :Text;
  class @3 :UInt8;           # 0 online, 1 batch
  method @4 :Text;
  path @5 :Text;
  headers @6 :List(Header);
  body @7 :Data;
  deadlineMs @8 :UInt64;     # time until the deadline when sent; 0 if none
  repeatable @9 :Bool;
  resumeOffset @10 :UInt32;  # tokens that the caller already has
  target @11 :Text;          # endpoint expected at the receiver
  version @12 :UInt64;       # key of the version that may resume; 0 if any
}

struct Refusal {
  kind @0 :UInt16;           # see RefusalKind in the wire crate
  detail @1 :Text;
  retryAfterMs @2 :UInt32;
}

struct Outcome {
  kind @0 :UInt16;           # see OutcomeKind in the wire crate
  ran @1 :Bool;              # whether the endpoint may have received the call
  detail @2 :Text;
  chunks @3 :UInt32;         # chunks sent before the end
}

interface Sink {
  head @0 (requestId :Text, attempt :UInt32, status :UInt16, headers :List(Header)) -> ();
  chunk @1 (seq :UInt32, bytes :Data) -> ();
  end @2 (outcome :Outcome) -> ();
}

# Held by the caller of Companion.run during the call. Dropping it cancels the
# call at the endpoint.
interface Call {
  ping @0 () -> ();
}

struct Load {
  running @0 :UInt32;
  waiting @1 :UInt32;
  batchRunning @2 :UInt32;
  firstTokenMs @3 :UInt32;   # recent p95 at this endpoint
  betweenTokensMs @4 :UInt32;
  leaving @5 :Bool;
  incarnation @6 :UInt64;
  endpointUp @7 :Bool;
  version @8 :UInt64;        # key of the endpoint's software version
}

interface Companion {
  run @0 (request :Request, sink :Sink) -> (accepted :Bool, call :Call, refusal :Refusal, load :Load);
  load @1 () -> (load :Load);
  order @2 (fence :UInt64, kind :Text, body :Data) -> (accepted :Bool, refusal :Refusal);
}

struct Item {
  grant @0 :UInt64;          # unique within the granting owner's incarnation
  partition @1 :UInt32;
  fence @2 :UInt64;
  job @3 :Text;
  index @4 :UInt32;
  attempt @5 :UInt32;
  tenant @6 :Text;
  path @7 :Text;
  body @8 :Data;
  expiresInMs @9 :UInt32;
  dueUnixMs @10 :UInt64;
}

struct ItemResult {
  grant @0 :UInt64;
  partition @1 :UInt32;
  fence @2 :UInt64;
  job @3 :Text;
  index @4 :UInt32;
  attempt @5 :UInt32;
  outcome @6 :UInt16;        # see ItemOutcome in the wire crate
  status @7 :UInt16;
  body @8 :Data;
}

struct Pull {
  vm @0 :Text;
  incarnation @1 :UInt64;
  models @2 :List(Text);
  room @3 :UInt32;           # maximum number of items to grant
  running @4 :List(UInt64);  # grants still held; the pull renews them
}

struct PullReply {
  items @0 :List(Item);
  revoked @1 :List(UInt64);  # grants to abort (cancelled, expired)
  nextInMs @2 :UInt32;       # time until the next pull
}

interface Entry {
  pull @0 (pull :Pull) -> (reply :PullReply);
  results @1 (results :List(ItemResult)) -> (taken :UInt32);
  leaving @2 (vm :Text, incarnation :UInt64) -> ();
  config @3 (have :UInt64) -> (revision :UInt64, bytes :Data);
  compare @4 (question :Data) -> (answer :Data);  # spread::Message as JSON
}

interface Storage {
  put @0 (id :Text, bytes :Data, crc :UInt32) -> (stored :Bool, refusal :Refusal);
  get @1 (id :Text) -> (found :Bool, bytes :Data, crc :UInt32, refusal :Refusal);
  remove @2 (id :Text) -> ();
  stat @3 () -> (blobs :UInt64, bytes :UInt64, quotaBytes :UInt64);
  list @4 (after :Text, limit :UInt32) -> (ids :List(Text));
}

# Bootstrap capability of each connection.
interface Node {
  hello @0 (hello :Hello) -> (hello :Hello);
  companion @1 () -> (companion :Companion);
  entry @2 () -> (entry :Entry);
  storage @3 () -> (storage :Storage);
  prove @4 (proof :Data) -> ();
  ping @5 () -> ();
}

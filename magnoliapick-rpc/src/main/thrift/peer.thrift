/* Messages between entry instances. Times are milliseconds since the epoch. */
namespace java org.magnoliapick.rpc.gen

/** A message whose content is authenticated with a key that both sides know. */
struct Signed {
  1: required string keyId
  2: required binary payload
  3: required binary mac
}

/** One share message; see share.thrift for the content of each kind. */
struct ShareItem {
  1: required i32 kind
  2: required binary content
}

/** What one instance sends to another in one go. */
struct Bundle {
  1: required string fromInstance
  2: required i64 incarnation
  3: required i64 sentAtMillis
  4: required string toInstance
  5: required bool leaving
  6: required i64 configOffset
  7: required list<ShareItem> items
}

/** A question to one instance: its topic names the answerer, content is JSON or Thrift. */
struct Query {
  1: required string fromInstance
  2: required i64 sentAtMillis
  3: required string toInstance
  4: required string topic
  5: required binary content
}

/** The answer to a query. */
struct Reply {
  1: required string fromInstance
  2: required i64 sentAtMillis
  3: required bool known
  4: required binary content
}

service Peer {
  /** Delivers a signed bundle; nothing comes back. */
  oneway void deliver(1: Signed bundle)
  /** Answers a signed query with a signed reply. */
  Signed ask(1: Signed query)
}

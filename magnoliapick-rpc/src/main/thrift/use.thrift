/* What gateways tell each other of their use of the upstreams, in datagrams. Tokens are tokens. */
namespace java org.magnoliapick.rpc.gen

/** What the sender has at one upstream; upstreams at which it has nothing are left out. */
struct UseUpstream {
  1: required string upstream
  2: required i32 running
  3: required i64 readingTokens
  4: required i64 memoryTokens
}

/** What a workspace was served by the sender, decayed over the share window. */
struct UseWorkspace {
  1: required string workspace
  2: required i64 servedTokens
}

/** The sender's use of one service. */
struct UsePool {
  1: required string serviceName
  2: required list<UseUpstream> upstreams
  3: required list<UseWorkspace> workspaces
  /** Tokens of the requests that wait at the sender. */
  5: required i64 waitingTokens
  /** What the least served workspace that waits at the sender was served; absent if none waits. */
  4: optional i64 waitingLevelTokens
}

/** One datagram. */
struct UseReport {
  1: required string fromInstance
  2: required string domain
  3: required i64 startedMillis
  4: required i64 sequence
  5: required list<UsePool> pools
  /** Addresses of instances that the sender knows; sent now and then. */
  6: optional list<string> knownAddresses
  7: required string address
}

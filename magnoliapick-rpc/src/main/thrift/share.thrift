/* The content of each kind of share item. Costs are in service units. */
namespace java org.magnoliapick.rpc.gen

/** Kinds 1 and 2: the sender lives, or dispatches no more. */
struct ShareSign {
  1: required i64 sequence
}

struct ShareWorkspaceDemand {
  1: required string workspace
  2: required string target
  3: required i32 waiting
  4: required i64 headRankMillis
  5: required double estimateUnits
  6: required double usedUnits
  7: required double inFlightUnits
  8: required double leadUnits
  9: optional string preferred
}

struct ShareUpstreamUse {
  1: required string upstream
  2: required i32 inFlight
  3: required i64 gapMillis
}

/** Kind 3: what an instance has waiting for a pool and running there. */
struct ShareDemand {
  1: required string domain
  2: required string target
  3: required i64 sequence
  4: required i64 heardSequence
  5: required bool whole
  6: required list<ShareWorkspaceDemand> workspaces
  7: required list<ShareUpstreamUse> upstreams
  8: required list<string> declined
}

struct ShareWindow {
  1: required string upstream
  2: required i32 maxInFlight
}

struct ShareGrant {
  1: required string workspace
  2: required string target
  3: required string upstream
  4: required double leadUnits
}

/** Kind 4: what a dispatcher lets an instance start. */
struct ShareGrants {
  1: required string domain
  2: required string target
  3: required i64 sequence
  4: required bool backlogged
  5: required list<ShareWindow> windows
  6: required list<ShareGrant> grants
}

struct ShareTotal {
  1: required string workspace
  2: required double usedUnits
  3: required double inFlightUnits
  4: required bool backlogged
}

/** Kind 5: the service that workspaces received from a pool. */
struct ShareAttained {
  1: required string domain
  2: required string target
  3: required i64 epochMillis
  4: required i64 sequence
  5: required list<ShareTotal> totals
}

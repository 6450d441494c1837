/* What gateways tell each other of their use of the upstreams, in datagrams. Tokens are tokens. */
namespace java org.magnoliapick.rpc.gen

/** What the sender has at one upstream; upstreams at which it has nothing are left out. */
struct UseUpstream {
  1: required string upstream
  2: required i32 running
  3: required i64 readingTokens
  4: required i64 memoryTokens
  5: optional i32 tokensPerMilli
  /** Requests that the sender decided to send there since the upstream was rate-limited. */
  6: optional i64 starts
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
  /** Whether this is the use of all for whom the sender decides. */
  6: optional bool whole
}

/** An instance that the sender hears itself. */
struct UseMember {
  1: required string instanceName
  2: required string domain
  3: required string address
  4: required i32 milliCores
}

/** One datagram. */
struct UseReport {
  1: required string fromInstance
  2: required string domain
  3: required i64 startedMillis
  4: required i64 sequence
  5: required list<UsePool> pools
  7: required string address
  8: required i32 milliCores
  9: optional bool wantsReply
  10: optional bool declinesDuty
  /** The digest of the members that the receiver told the sender of last. */
  11: optional i64 knownDigest
  /** Instances that the sender hears; sent where the receiver's digest is another. */
  12: optional list<UseMember> members
  /** Up to which offset the sender knows the list of upstreams. */
  13: optional i64 listOffset
  /** Up to which version of the receiver's suspected prompt parts the sender knows them. */
  14: optional i64 suspectsVersion
  /** Up to which version of the receiver's rate limits the sender knows them. */
  15: optional i64 limitsVersion
  /** The epoch of the store's logs that listOffset belongs to. */
  16: optional i64 storeEpoch
  /** The version of the configuration that is in force at the sender. */
  17: optional i64 configVersion
  /** Up to which version of the receiver's leaving upstreams the sender knows them. */
  30: optional i64 leavingVersion
  /** Up to which version of the receiver's pauses the sender knows them. */
  31: optional i64 pausesVersion
  /** Up to which version of the receiver's evacuated failure domains the sender knows them. */
  40: optional i64 evacuationsVersion
  /** Up to which version of the receiver's cold upstreams the sender knows them. */
  41: optional i64 coldVersion
}

/** A record of the list of upstreams; without a value its key was dropped. */
struct UseListChange {
  1: required string key
  2: required i64 offset
  3: optional binary value
  /** How long ago the sender read it in the store. */
  40: optional i64 ageMillis
}

/** What the sender read in the store lately. */
struct UseStoreNews {
  1: required i64 fromOffset
  2: required i64 listOffset
  3: required i64 listAgeMillis
  4: optional list<UseListChange> changes
  5: required i64 configOffset
  6: required i64 configAgeMillis
  /** The epoch of the store's logs that the offsets belong to. */
  7: optional i64 epoch
}

struct UsePart {
  1: required string id
  2: required i32 tokens
}

/** Asks the dispatcher for an upstream. Times are milliseconds from now. */
struct UseAsk {
  1: required i64 number
  2: required string requestId
  3: required string serviceName
  4: required string account
  5: required i32 promptTokens
  6: required i32 outputTokens
  7: required list<UsePart> parts
  8: required i64 objectiveMillis
  9: required i64 onTimeInMillis
  10: required i32 rank
  15: required string domain
  11: optional bool returned
  12: optional bool underWay
  13: optional list<string> excluded
  14: optional list<string> lost
  /** A hash of the request's method, path, caller, prompt and body. */
  20: optional i64 fingerprint
}

/** What was decided: it waits if neither upstream nor refusal is there. */
struct UseDecision {
  1: required i64 number
  2: required string serviceName
  3: optional string upstream
  4: optional i64 grant
  5: optional i64 newTokens
  6: optional i64 aheadTokens
  7: optional i32 cause
  8: optional i64 retryAfterMillis
}

struct UseWithdrawal {
  1: required i64 number
  2: required string serviceName
}

/** A crash of an upstream while requests that have something in common were unanswered there. */
struct UseSighting {
  1: required string upstream
  2: required i64 startedMillis
  /** The fingerprints of the requests; their identifiers in an older build. */
  3: required list<string> requests
  4: required i64 ageMillis
  /** Whether such a request was answered. */
  5: optional bool refuted
}

/** A prompt part that may crash upstreams. */
struct UseSuspect {
  1: required string serviceName
  2: required string part
  3: required list<UseSighting> sightings
}

/** The whole content of a request that may crash upstreams. */
struct UseSuspectContent {
  1: required string serviceName
  2: required i64 fingerprint
  3: required list<UseSighting> sightings
}

/** The suspects of the sender that the receiver lacks. */
struct UseSuspects {
  1: required i64 version
  2: optional list<UseSuspect> suspects
  20: optional list<UseSuspectContent> contents
}

/** What an upstream last stated about its rate limit; without a rate it has none. */
struct UseRateLimit {
  1: required string upstream
  2: required i64 startedMillis
  3: required i64 ageMillis
  4: optional double perSecond
}

/** The rate limits of upstreams that the receiver lacks. */
struct UseRateLimits {
  1: required i64 version
  2: optional list<UseRateLimit> limits
}

/** An upstream that stated that it is leaving. */
struct UseLeavingUpstream {
  1: required string upstream
  2: required i64 startedMillis
  3: required i64 ageMillis
}

/** The leaving upstreams that the receiver does not know of. */
struct UseLeaving {
  1: required i64 version
  2: optional list<UseLeavingUpstream> upstreams
}

/** How long an upstream wants no requests of the sender. */
struct UsePause {
  1: required string upstream
  2: required i64 startedMillis
  3: required i64 forMillis
}

/** The pauses that upstreams asked the sender for and that the receiver does not know of. */
struct UsePauses {
  1: required i64 version
  2: optional list<UsePause> pauses
}

/** What the newest known record of the store says of a failure domain. */
struct UseEvacuation {
  1: required string domain
  2: required bool evacuated
  /** The epoch of the store's logs that the offset belongs to. */
  3: required i64 epoch
  4: required i64 offset
}

/** The changes of evacuated failure domains that the receiver does not know of. */
struct UseEvacuations {
  1: required i64 version
  2: optional list<UseEvacuation> evacuations
}

/** A cold upstream; without a remaining time the configuration of its service names it. */
struct UseColdUpstream {
  1: required string upstream
  2: required i64 startedMillis
  3: required string serviceName
  4: required i64 ageMillis
  5: optional i64 leftMillis
}

/** The cold upstreams that the receiver does not know of. */
struct UseCold {
  1: required i64 version
  2: optional list<UseColdUpstream> upstreams
}

/** One datagram. */
struct UsePacket {
  1: required string fromInstance
  2: required string address
  3: optional UseReport report
  4: optional map<string, i64> grantsTaken
  5: optional list<UseAsk> asks
  6: optional list<UseDecision> decisions
  7: optional list<UseWithdrawal> withdrawals
  8: optional UseStoreNews news
  9: optional UseSuspects suspects
  10: optional UseRateLimits limits
  30: optional UseLeaving leaving
  31: optional UsePauses pauses
  40: optional UseEvacuations evacuations
  41: optional UseCold cold
}

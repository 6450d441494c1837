-- Claims of one key. A claim may reach the log late, twice, or not at all; its router may give it up
-- at any time before sending; an upstream may prove that it did not run what was sent.
module claims
open util/ordering[Offset]

sig Offset {}
sig Claim {}
abstract sig Kind {}
one sig Made, NotRun extends Kind {}

one sig Log {
  var kind: Offset -> lone Kind,
  var of: Offset -> lone Claim
}
var sig Winning in Offset {}
var sig Issued, GivenUp, Sent, Ran, Refused in Claim {}

-- The fold: an entry wins if it is the first of its claim and every earlier winner freed the key.
pred fold {
  all o: Offset | o in Winning iff {
    Log.kind[o] = Made
    no p: o.prevs | Log.of[p] = Log.of[o]
    all w: o.prevs & Winning | some r: w.nexts & o.prevs | Log.kind[r] = NotRun and Log.of[r] = Log.of[w]
  }
}

pred append[c: Claim, k: Kind] {
  some o: Offset {
    no Log.kind[o]
    all p: o.prevs | some Log.kind[p]
    Log.kind' = Log.kind + o -> k
    Log.of' = Log.of + o -> c
  }
}

pred sameLog { Log.kind' = Log.kind and Log.of' = Log.of }
pred sameRouters { Issued' = Issued and GivenUp' = GivenUp and Sent' = Sent }
pred sameUpstreams { Ran' = Ran and Refused' = Refused }

pred issue[c: Claim] {
  Issued' = Issued + c
  GivenUp' = GivenUp and Sent' = Sent
  sameLog and sameUpstreams
}

pred claimLands[c: Claim] {
  c in Issued
  append[c, Made]
  sameRouters and sameUpstreams
}

pred releaseLands[c: Claim] {
  c in GivenUp + Refused
  append[c, NotRun]
  sameRouters and sameUpstreams
}

pred giveUp[c: Claim] {
  c in Issued - Sent
  GivenUp' = GivenUp + c
  Issued' = Issued and Sent' = Sent
  sameLog and sameUpstreams
}

-- The router has read its claim back as the winner.
pred send[c: Claim] {
  c in Issued - Sent
  c not in GivenUp
  some o: Winning | Log.of[o] = c
  Sent' = Sent + c
  Issued' = Issued and GivenUp' = GivenUp
  sameLog and sameUpstreams
}

pred execute[c: Claim] {
  c in Sent - Refused
  Ran' = Ran + c and Refused' = Refused
  sameLog and sameRouters
}

pred refuse[c: Claim] {
  c in Sent - Ran
  Refused' = Refused + c and Ran' = Ran
  sameLog and sameRouters
}

pred idle { sameLog and sameRouters and sameUpstreams }

fact behaviour {
  no Log.kind and no Log.of and no Issued + GivenUp + Sent + Ran + Refused
  always fold
  always (idle or some c: Claim |
    issue[c] or claimLands[c] or releaseLands[c] or giveUp[c] or send[c] or execute[c] or refuse[c])
}

assert atMostOnce { always lone Ran }
assert notRunIsTrue { always no Ran & (GivenUp + Refused) }
-- A claim whose release is in the log never holds the key again, whatever arrives late.
assert releasedClaimNeverHolds {
  always no w: Winning | some r: w.prevs | Log.kind[r] = NotRun and Log.of[r] = Log.of[w]
}

check atMostOnce for 3 Claim, 5 Offset, 1..10 steps
check notRunIsTrue for 2 Claim, 3 Offset, 1..8 steps
check releasedClaimNeverHolds for 2 Claim, 4 Offset, 1..8 steps
run secondClaimRuns { eventually (some Refused and some Ran) } for 2 Claim, 4 Offset, 1..11 steps

--! two-winners: all w: o.prevs & Winning | some r: w.nexts & o.prevs | Log.kind[r] = NotRun and Log.of[r] = Log.of[w] ==> some Log.kind[o]
--! copies-count: no p: o.prevs | Log.of[p] = Log.of[o] ==> some Log.kind[o]
--! send-after-giving-up: c not in GivenUp ==> c in Issued
--! send-without-reading-back: some o: Winning | Log.of[o] = c ==> c in Issued
--! takeover: c in GivenUp + Refused ==> c in Issued

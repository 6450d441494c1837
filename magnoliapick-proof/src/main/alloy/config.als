-- Configuration: readers fold a log that forgets its oldest entries, and help themselves with
-- snapshots. A state is the set of entries folded into it; two readers that have folded the same
-- prefix hold the same configuration.
module config
open util/ordering[Offset]

sig Offset {}
var sig Written, Kept in Offset {}
sig Reader {
  var folded: set Offset
}
var sig Serving in Reader {}
sig Snapshot {
  var holds: set Offset
}
var sig Published in Snapshot {}

pred sameLog { Written' = Written and Kept' = Kept }
pred sameSnapshots { Published' = Published and holds' = holds }
pred sameReaders { folded' = folded and Serving' = Serving }
pred othersSame[r: Reader] {
  all other: Reader - r | other.folded' = other.folded
  Serving' - r = Serving - r
}

pred append {
  some o: Offset - Written {
    o.prevs in Written
    Written' = Written + o and Kept' = Kept + o
  }
  sameSnapshots and sameReaders
}

pred forgetOldest {
  some Kept
  Kept' = Kept - min[Kept]
  Written' = Written
  sameSnapshots and sameReaders
}

pred read[r: Reader] {
  some o: Kept - r.folded {
    o.prevs in r.folded
    r.folded' = r.folded + o
  }
  r in Serving'
  othersSame[r] and sameLog and sameSnapshots
}

pred publish[r: Reader] {
  some s: Snapshot - Published {
    Published' = Published + s
    s.holds' = r.folded
    all other: Snapshot - s | other.holds' = other.holds
  }
  some r.folded
  sameLog and sameReaders
}

-- A reader takes a snapshot, or the state of a peer, only forwards.
pred load[r: Reader, state: set Offset] {
  r.folded in state
  some state
  r.folded' = state
  r in Serving'
  othersSame[r] and sameLog and sameSnapshots
}

pred restart[r: Reader] {
  no r.folded'
  r not in Serving'
  othersSame[r] and sameLog and sameSnapshots
}

pred idle { sameLog and sameSnapshots and sameReaders }

fact behaviour {
  no Written and no Kept and no folded and no Published and no holds and no Serving
  always (idle or append or forgetOldest or some r: Reader |
    read[r] or publish[r] or restart[r]
    or (some s: Published | load[r, s.holds]) or (some p: Reader | load[r, p.folded]))
}

assert everyStateIsAPrefix { always all r: Reader, o: r.folded | o.prevs in r.folded }
assert neverAStepBack {
  always all r: Reader | r in Serving and r in Serving' implies r.folded in r.folded'
}
assert servesOnlyWithAState { always all r: Serving | some r.folded }

check everyStateIsAPrefix for 2 Reader, 4 Offset, 2 Snapshot, 1..9 steps
check neverAStepBack for 2 Reader, 3 Offset, 2 Snapshot, 1..8 steps
check servesOnlyWithAState for 2 Reader, 3 Offset, 2 Snapshot, 1..7 steps
run snapshotBridgesTheGap {
  eventually (some r: Reader, s: Published | no Kept & first and load[r, s.holds] and no r.folded)
} for 2 Reader, 3 Offset, 1 Snapshot, 1..9 steps

--! gaps-are-skipped: o.prevs in r.folded ==> some o
--! loads-backwards: r.folded in state ==> some state
--! serves-after-restart: r not in Serving' ==> r in Serving'

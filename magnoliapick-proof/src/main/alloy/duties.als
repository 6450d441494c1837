-- Change of the instance that has a duty for a pool. An orderer may act long after it decided; an
-- engine that checks fencing numbers refuses it, another one obeys. A dispatcher may not yet know
-- that another one has taken over; each grants only slots that it believes free.
module duties
open util/ordering[Offset]

sig Offset {}
sig Instance {
  var known: one Offset,
  var decided: lone Offset,
  var granted: set Slot,
  var heardOf: set Slot
}
sig Slot {}
var sig Dispatching in Instance {}
one sig Setting { var newest: one Offset }
abstract sig Engine { var obeyed: one Offset }
one sig Checking, Trusting extends Engine {}

pred sameOrders { known' = known and decided' = decided and newest' = newest and obeyed' = obeyed }
pred sameSlots { granted' = granted and heardOf' = heardOf and Dispatching' = Dispatching }

pred change {
  some Setting.newest.nexts
  Setting.newest' = Setting.newest.next
  known' = known and decided' = decided and obeyed' = obeyed
  sameSlots
}

pred learn[i: Instance] {
  i.known' = Setting.newest
  all j: Instance - i | j.known' = j.known
  newest' = newest and decided' = decided and obeyed' = obeyed
  sameSlots
}

-- The instance reads what the engines hold and decides.
pred decide[i: Instance] {
  all e: Engine | e.obeyed in i.known.prevs + i.known
  i.decided' = i.known
  all j: Instance - i | j.decided' = j.decided
  newest' = newest and known' = known and obeyed' = obeyed
  sameSlots
}

-- The order reaches an engine, perhaps long after it was decided; it is sent once.
pred act[i: Instance, e: Engine] {
  some i.decided
  e = Checking implies i.decided in e.obeyed.nexts + e.obeyed
  e.obeyed' = i.decided
  all f: Engine - e | f.obeyed' = f.obeyed
  no i.decided'
  all j: Instance - i | j.decided' = j.decided
  newest' = newest and known' = known
  sameSlots
}

pred takeOver[i: Instance] {
  i not in Dispatching
  Dispatching' = Dispatching + i
  i.heardOf' = Instance.granted
  all j: Instance - i | j.heardOf' = j.heardOf
  granted' = granted
  sameOrders
}

pred stepDown[i: Instance] {
  i in Dispatching
  Dispatching' = Dispatching - i
  granted' = granted and heardOf' = heardOf
  sameOrders
}

pred grant[i: Instance, s: Slot] {
  i in Dispatching
  s not in i.granted
  s not in i.heardOf
  i.granted' = i.granted + s
  all j: Instance - i | j.granted' = j.granted
  heardOf' = heardOf and Dispatching' = Dispatching
  sameOrders
}

pred free[i: Instance, s: Slot] {
  s in i.granted
  i.granted' = i.granted - s
  all j: Instance - i | j.granted' = j.granted
  heardOf' = heardOf - Instance -> s
  Dispatching' = Dispatching
  sameOrders
}

pred idle { sameOrders and sameSlots }

fact behaviour {
  known = Instance -> first and no decided and Setting.newest = first
  obeyed = Engine -> first
  no granted and no heardOf and no Dispatching
  always (idle or change
    or (some i: Instance | learn[i] or decide[i] or takeOver[i] or stepDown[i])
    or (some i: Instance, e: Engine | act[i, e])
    or (some i: Instance, s: Slot | grant[i, s] or free[i, s]))
}

assert checkingEngineNeverGoesBack { always Checking.obeyed' in Checking.obeyed.nexts + Checking.obeyed }
-- An engine without fencing goes back only by an order that was decided before the newer one came.
assert trustingEngineGoesBackOnlyByALateOrder {
  always (Trusting.obeyed' in Trusting.obeyed.prevs implies
    some i: Instance | i.decided = Trusting.obeyed' and no i.decided')
}
-- One dispatcher that was handed over in order never admits twice to a slot.
assert inOrderHandoverAdmitsOnce {
  (always lone Dispatching) implies always all s: Slot | lone granted.s
}

check checkingEngineNeverGoesBack for 2 Instance, 3 Offset, 1 Slot, 1..10 steps
check trustingEngineGoesBackOnlyByALateOrder for 2 Instance, 3 Offset, 1 Slot, 1..10 steps
check inOrderHandoverAdmitsOnce for 2 Instance, 1 Offset, 2 Slot, 1..9 steps
run lateOrderDoesHappen { eventually Trusting.obeyed' in Trusting.obeyed.prevs }
  for 2 Instance, 3 Offset, 1 Slot, 1..12 steps
run twoDispatchersDoHappen { eventually some s: Slot | not lone granted.s }
  for 2 Instance, 1 Offset, 1 Slot, 1..8 steps

--! no-fencing: e = Checking implies i.decided in e.obeyed.nexts + e.obeyed ==> some e
--! orders-repeat-themselves: no i.decided' ==> i.decided' = i.decided
--! forgets-what-was-granted: i.heardOf' = Instance.granted ==> no i.heardOf'
--! grants-without-looking: s not in i.heardOf ==> some s

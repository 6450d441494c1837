package org.magnoliapick.record;

/**
 * A decision as an instance keeps it.
 *
 * @param decision the decision
 * @param configOffset the offset of the configuration in force when it was made
 */
public record KeptDecision(DecisionRecord decision, long configOffset) {}

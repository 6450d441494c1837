package org.magnoliapick.record;

/**
 * A decision as buffered by an instance, with the configuration that it was made under.
 *
 * @param decision the decision
 * @param configOffset the offset of the configuration that was in force when it was made
 */
public record KeptDecision(DecisionRecord decision, long configOffset) {}

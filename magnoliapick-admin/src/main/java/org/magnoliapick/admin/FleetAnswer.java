package org.magnoliapick.admin;

import java.util.Optional;
import org.magnoliapick.lib.InstanceId;

/**
 * What one instance said to a question.
 *
 * @param instance the instance asked
 * @param content its answer as JSON; empty if it did not answer
 */
public record FleetAnswer(InstanceId instance, Optional<byte[]> content) {}

package org.magnoliapick.admin;

import java.time.Duration;
import java.util.List;

/** Asks every entry instance of the fleet, this one included. */
public interface FleetQuery {
    /**
     * Asks a question.
     *
     * @param topic what the question is about
     * @param content the question as JSON
     * @param timeout how long to wait for answers
     * @return one answer per instance known, also for those that did not answer
     */
    List<FleetAnswer> ask(String topic, byte[] content, Duration timeout);
}

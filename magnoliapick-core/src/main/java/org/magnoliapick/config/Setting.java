package org.magnoliapick.config;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * A value in force.
 *
 * @param value the value in its stored form
 * @param version the log offset that last set it
 */
public record Setting(JsonNode value, long version) {}

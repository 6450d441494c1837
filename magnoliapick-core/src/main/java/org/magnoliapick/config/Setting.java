package org.magnoliapick.config;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * The current value of a setting.
 *
 * @param value the value in canonical form
 * @param version the log offset that last set it
 */
public record Setting(JsonNode value, long version) {}

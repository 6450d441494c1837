package org.magnoliapick.router;

import jakarta.validation.constraints.Max;
import jakarta.validation.constraints.Min;
import jakarta.validation.constraints.NotBlank;
import jakarta.validation.constraints.NotNull;
import jakarta.validation.constraints.Pattern;

/**
 * Who and where an entry instance is.
 *
 * @param name its name, unique in the fleet
 * @param failureDomain its failure domain
 * @param host the IP number under which callers and other instances reach it
 * @param callerPort the TCP port under which callers reach it
 */
public record InstanceSettings(
        @NotBlank @Pattern(regexp = "[a-z0-9][a-z0-9.-]*", message = LOWER_CASE_NAME) String name,
        @NotBlank @Pattern(regexp = "[a-z0-9][a-z0-9.-]*", message = LOWER_CASE_NAME)
                String failureDomain,
        @NotNull @Pattern(regexp = IpNumber.PATTERN, message = IpNumber.RULE) String host,
        @Min(1) @Max(65535) int callerPort) {
    private static final String LOWER_CASE_NAME =
            "must be lower-case letters, digits, dots and hyphens";
}

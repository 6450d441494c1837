package org.magnoliapick.router;

import jakarta.validation.constraints.NotNull;
import jakarta.validation.constraints.Pattern;
import org.magnoliapick.ports.Endpoint;

/**
 * Where the platform's services listen.
 *
 * @param log the log service
 * @param instanceList the instance list
 * @param weightStore the weight store
 */
public record PlatformAddresses(
        @NotNull @Pattern(regexp = IpNumber.WITH_PORT_PATTERN, message = IpNumber.WITH_PORT_RULE)
                String log,
        @NotNull @Pattern(regexp = IpNumber.WITH_PORT_PATTERN, message = IpNumber.WITH_PORT_RULE)
                String instanceList,
        @NotNull @Pattern(regexp = IpNumber.WITH_PORT_PATTERN, message = IpNumber.WITH_PORT_RULE)
                String weightStore) {
    /** Returns the address in the form that the adapters take. */
    static Endpoint endpoint(String address) {
        int colon = address.lastIndexOf(':');
        String host = address.substring(0, colon).replace("[", "").replace("]", "");
        return new Endpoint(host, Integer.parseInt(address.substring(colon + 1)));
    }
}

package org.magnoliapick.member;

import java.nio.charset.StandardCharsets;
import org.magnoliapick.lib.FailureDomain;
import org.magnoliapick.lib.InstanceId;

/**
 * An entry instance as reported between instances.
 *
 * @param instance its name
 * @param domain its failure domain
 * @param address the address that it listens at, as IP address and port
 * @param milliCores its processor capacity in thousandths of a core
 */
public record Member(InstanceId instance, FailureDomain domain, String address, int milliCores) {
    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    /**
     * Returns the 64-bit FNV-1a hash of the name and address. The sum of the hashes identifies a
     * set of members regardless of their order.
     */
    long digest() {
        long digest = FNV_OFFSET;
        for (byte each : (instance + "@" + address).getBytes(StandardCharsets.UTF_8)) {
            digest = (digest ^ each) * FNV_PRIME;
        }
        return digest;
    }
}

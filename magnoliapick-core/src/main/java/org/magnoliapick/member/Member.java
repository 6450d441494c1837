package org.magnoliapick.member;

import java.nio.charset.StandardCharsets;
import org.magnoliapick.lib.FailureDomain;
import org.magnoliapick.lib.InstanceId;

/**
 * An instance as others name it.
 *
 * @param instance its name
 * @param domain its failure domain
 * @param address where it listens, IP number and port
 * @param milliCores its processor, in thousandths of a core
 */
public record Member(InstanceId instance, FailureDomain domain, String address, int milliCores) {
    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    /** Returns a number that tells this member from others; sums of them tell sets apart. */
    long digest() {
        long digest = FNV_OFFSET;
        for (byte each : (instance + "@" + address).getBytes(StandardCharsets.UTF_8)) {
            digest = (digest ^ each) * FNV_PRIME;
        }
        return digest;
    }
}

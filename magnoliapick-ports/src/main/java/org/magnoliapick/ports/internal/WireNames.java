package org.magnoliapick.ports.internal;

/** Header names towards upstreams. */
final class WireNames {
    static final String ATTEMPT = "Magnoliapick-Attempt";
    static final String NOT_STARTED = "Magnoliapick-Not-Started";
    static final String RESUME_FROM = "Magnoliapick-Resume-From";

    private WireNames() {}
}

package org.magnoliapick.router;

/** The form of an address in settings: an IP number, never a name to look up. */
final class IpNumber {
    private static final String OCTET = "(25[0-5]|2[0-4]\\d|1?\\d?\\d)";
    private static final String V4 = "(" + OCTET + "\\.){3}" + OCTET;
    private static final String V6 = "[0-9a-fA-F]*:[0-9a-fA-F:.]+";

    /** Matches an IPv4 or IPv6 number. */
    static final String PATTERN = V4 + "|" + V6;

    /** Matches an IP number and a port, an IPv6 number in brackets. */
    static final String WITH_PORT_PATTERN = "(" + V4 + "|\\[" + V6 + "\\]):\\d{1,5}";

    /** Says what is allowed. */
    static final String RULE = "must be an IP number, such as 10.0.0.7";

    /** Says what is allowed where a port is needed too. */
    static final String WITH_PORT_RULE = "must be an IP number and a port, such as 10.0.0.7:8100";

    private IpNumber() {}
}

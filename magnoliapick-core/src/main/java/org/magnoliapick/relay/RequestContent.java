package org.magnoliapick.relay;

/**
 * What a request asks for, which repetitions of it and other requests may have in common with it.
 *
 * @param service the service that the request is for
 * @param prompt the size and the parts of its prompt
 * @param fingerprint identifies the whole content
 */
public record RequestContent(String service, Prompt prompt, Fingerprint fingerprint) {}

package org.magnoliapick.quarantine;

import java.util.LinkedHashSet;
import java.util.Set;
import org.magnoliapick.relay.Fingerprint;
import org.magnoliapick.relay.PromptPart;
import org.magnoliapick.relay.RequestContent;

/**
 * What requests for one service may have in common and may crash upstreams by. Another service may
 * run another model or program, which the same does not crash.
 *
 * @param service the service
 * @param kind what it is
 * @param id the identifier of the part, or the fingerprint
 */
public record SuspectKey(String service, Kind kind, String id) {
    /** The maximum length of an identifier, which callers choose; longer ones are shortened. */
    private static final int MAX_ID_CHARS = 48;

    /** What requests may have in common. */
    public enum Kind {
        /** A prompt part that other prompts may share. A single request proves nothing of it. */
        PART("prompt", "part", "prompt_parts", 2, true),
        /**
         * The whole content of a request, which its repetitions share. They may follow each other
         * at once, and each crash costs another upstream.
         */
        FINGERPRINT("fingerprint", "fingerprint", "fingerprints", 1, false);

        private final String mLogPrefix;
        private final String mFieldName;
        private final String mMetricName;
        private final int mMinRequests;
        private final boolean mCountsSimultaneousOnce;

        Kind(
                String logPrefix,
                String fieldName,
                String metricName,
                int minRequests,
                boolean countsSimultaneousOnce) {
            mLogPrefix = logPrefix;
            mFieldName = fieldName;
            mMetricName = metricName;
            mMinRequests = minRequests;
            mCountsSimultaneousOnce = countsSimultaneousOnce;
        }

        /** Returns the name of the field that has the identifier in log lines. */
        public String fieldName() {
            return mFieldName;
        }

        /** Returns the plural that occurs in the names of metrics. */
        public String metricName() {
            return mMetricName;
        }

        String logPrefix() {
            return mLogPrefix;
        }

        /** Returns the minimum number of different requests that were unanswered at crashes. */
        int minRequests() {
            return mMinRequests;
        }

        /**
         * Returns whether simultaneous crashes count as one: many sound requests share a part, so
         * crashes that have a common cause would soon accuse it.
         */
        boolean countsSimultaneousOnce() {
            return mCountsSimultaneousOnce;
        }
    }

    /**
     * Returns everything that the request may crash upstreams by: the parts of its prompt without
     * the last one, which no other request shares, and its fingerprint.
     */
    static Set<SuspectKey> of(RequestContent content) {
        Set<SuspectKey> keys = new LinkedHashSet<>();
        for (PromptPart part : content.prompt().sharedParts()) {
            keys.add(part(content.service(), part.id()));
        }
        if (!content.fingerprint().equals(Fingerprint.UNKNOWN)) {
            keys.add(fingerprint(content.service(), content.fingerprint()));
        }
        return keys;
    }

    private static SuspectKey part(String service, String id) {
        return new SuspectKey(
                service,
                Kind.PART,
                id.length() <= MAX_ID_CHARS
                        ? id
                        : id.substring(0, MAX_ID_CHARS) + "~" + Integer.toHexString(id.hashCode()));
    }

    /** Returns the key of a fingerprint. */
    public static SuspectKey fingerprint(String service, Fingerprint fingerprint) {
        return new SuspectKey(service, Kind.FINGERPRINT, fingerprint.toString());
    }
}

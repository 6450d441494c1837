package org.magnoliapick.ports.internal;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import org.magnoliapick.ports.LogEntry;
import org.magnoliapick.ports.LogPage;

/** Reads a page of the log and checks that it is a run without gaps from where it was asked. */
final class LogPageDecoder {
    private final long mFromOffset;
    private final int mMaxEntries;

    LogPageDecoder(long fromOffset, int maxEntries) {
        mFromOffset = fromOffset;
        mMaxEntries = maxEntries;
    }

    LogPage decode(JsonNode node) throws ExchangeException {
        long firstKept = Json.longAt(node, "firstKeptOffset");
        long end = Json.longAt(node, "endOffset");
        if (firstKept < 0 || end < firstKept) {
            throw Json.malformed("offsets in order");
        }
        List<LogEntry> entries = new ArrayList<>();
        long expected = Math.max(mFromOffset, firstKept);
        for (JsonNode entry : Json.arrayAt(node, "entries")) {
            entries.add(decodeEntry(entry, expected));
            expected++;
        }
        boolean isTooLong = entries.size() > mMaxEntries;
        boolean isPastEnd = !entries.isEmpty() && expected > end;
        if (isTooLong || isPastEnd) {
            throw Json.malformed("no more entries than asked for and kept");
        }
        return new LogPage(entries, firstKept, end);
    }

    private static LogEntry decodeEntry(JsonNode node, long expectedOffset)
            throws ExchangeException {
        long offset = Json.longAt(node, "offset");
        if (offset != expectedOffset) {
            throw Json.malformed("offset " + expectedOffset + ", not " + offset);
        }
        long appendedAtMillis = Json.longAt(node, "appendedAtMillis");
        byte[] payload = decodePayload(Json.textAt(node, "payload"));
        return new LogEntry(offset, appendedAtMillis, payload);
    }

    private static byte[] decodePayload(String payload) throws ExchangeException {
        try {
            return Base64.getDecoder().decode(payload);
        } catch (IllegalArgumentException e) {
            throw Json.malformed("a payload in base 64");
        }
    }
}

package org.magnoliapick.gateway.internal.log;

import java.util.function.LongSupplier;

/** Logs decisions and state changes as JSON lines. */
public final class EventLog {
    private final JsonLineWriter mWriter;
    private final LongSupplier mClockMillis;

    /** Creates a log that writes to a writer. */
    public EventLog(JsonLineWriter writer, LongSupplier clockMillis) {
        mWriter = writer;
        mClockMillis = clockMillis;
    }

    /** Returns a new line for an event of a kind such as {@code request.refused}. */
    public Line line(String kind) {
        return new Line(kind);
    }

    /** A line to which fields are added until it is logged. */
    public final class Line {
        private final StringBuilder mText = new StringBuilder(160);

        private Line(String kind) {
            mText.append("{\"atMillis\":").append(mClockMillis.getAsLong());
            with("kind", kind);
        }

        /** Adds a number field. */
        public Line with(String name, long value) {
            appendName(name).append(value);
            return this;
        }

        /** Adds a string field. */
        public Line with(String name, String value) {
            appendQuoted(appendName(name), value);
            return this;
        }

        /** Adds the string form of a value. */
        public Line with(String name, Object value) {
            return with(name, String.valueOf(value));
        }

        /** Adds a boolean field. */
        public Line with(String name, boolean value) {
            appendName(name).append(value);
            return this;
        }

        /** Adds a fault and where it was thrown. */
        public Line withFault(Throwable fault) {
            StackTraceElement[] trace = fault.getStackTrace();
            return with("fault", fault).with("at", trace.length > 0 ? trace[0] : "");
        }

        /** Completes the line and queues it for writing. */
        public void log() {
            mWriter.add(mText.append('}'));
        }

        private StringBuilder appendName(String name) {
            return mText.append(",\"").append(name).append("\":");
        }
    }

    private static void appendQuoted(StringBuilder text, String value) {
        text.append('"');
        for (int i = 0; i < value.length(); i++) {
            char each = value.charAt(i);
            if (each == '"' || each == '\\') {
                text.append('\\').append(each);
            } else if (each < ' ') {
                text.append(String.format("\\u%04x", (int) each));
            } else {
                text.append(each);
            }
        }
        text.append('"');
    }
}

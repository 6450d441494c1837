package org.magnoliapick.gateway.internal.log;

import java.util.function.LongSupplier;

/** Logs decisions and changes of belief as JSON lines. */
public final class EventLog {
    private final JsonLineWriter mLines;
    private final LongSupplier mClockMillis;

    /** Creates a log. */
    public EventLog(JsonLineWriter lines, LongSupplier clockMillis) {
        mLines = lines;
        mClockMillis = clockMillis;
    }

    /** Begins a line of a kind such as {@code request.refused}. */
    public Line line(String kind) {
        return new Line(kind);
    }

    /** One line in the making. */
    public final class Line {
        private final StringBuilder mText = new StringBuilder(160);

        private Line(String kind) {
            mText.append("{\"atMillis\":").append(mClockMillis.getAsLong());
            with("kind", kind);
        }

        /** Adds a number. */
        public Line with(String name, long value) {
            name(name).append(value);
            return this;
        }

        /** Adds a text. */
        public Line with(String name, String value) {
            quote(name(name), value);
            return this;
        }

        /** Adds the text of a value. */
        public Line with(String name, Object value) {
            return with(name, String.valueOf(value));
        }

        /** Adds a truth value. */
        public Line with(String name, boolean value) {
            name(name).append(value);
            return this;
        }

        /** Ends the line. */
        public void log() {
            mLines.add(mText.append('}'));
        }

        private StringBuilder name(String name) {
            return mText.append(",\"").append(name).append("\":");
        }
    }

    private static void quote(StringBuilder text, String value) {
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

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** Reads HTTP/1.1 messages from a socket. */
final class Wire {
    /** A message: its first line, its headers by lower-case name, and its whole body. */
    record Message(String first, Map<String, String> headers, byte[] body) {
        String header(String name) {
            return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
        }

        int status() {
            return Integer.parseInt(first.split(" ")[1]);
        }

        String path() {
            return first.split(" ")[1];
        }

        String text() {
            return new String(body, StandardCharsets.ISO_8859_1);
        }
    }

    private Wire() {}

    /** Reads a line without its end; null if the channel ends before its first byte. */
    static String line(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream(64);
        int c = in.read();
        if (c < 0) {
            return null;
        }
        while (c != '\n') {
            if (c < 0) {
                throw new EOFException("channel ended in a line");
            }
            if (c != '\r') {
                line.write(c);
            }
            c = in.read();
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    /** Reads the first line and the headers; null if the channel ended before them. */
    static Message head(InputStream in) throws IOException {
        String first = line(in);
        if (first == null) {
            return null;
        }
        Map<String, String> headers = new LinkedHashMap<>();
        for (String line = line(in); line != null && !line.isEmpty(); line = line(in)) {
            int colon = line.indexOf(':');
            headers.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).trim());
        }
        return new Message(first, headers, new byte[0]);
    }

    /** Reads a whole message; null if the channel ended before it. */
    static Message read(InputStream in) throws IOException {
        Message head = head(in);
        if (head == null) {
            return null;
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        if (head.header("transfer-encoding").equalsIgnoreCase("chunked")) {
            for (int size = chunkSize(in); size > 0; size = chunkSize(in)) {
                body.write(exactly(in, size));
                line(in);
            }
            line(in);
        } else if (!head.header("content-length").isEmpty()) {
            body.write(exactly(in, Integer.parseInt(head.header("content-length"))));
        }
        return new Message(head.first(), head.headers(), body.toByteArray());
    }

    static int chunkSize(InputStream in) throws IOException {
        String line = line(in);
        if (line == null) {
            throw new EOFException("channel ended before a chunk");
        }
        return Integer.parseInt(line.trim(), 16);
    }

    static byte[] exactly(InputStream in, int size) throws IOException {
        byte[] bytes = in.readNBytes(size);
        if (bytes.length < size) {
            throw new EOFException("channel ended in a body");
        }
        return bytes;
    }

    static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }
}

package org.magnoliapick.gateway;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/** Reads the responses on a caller's connection one after the other. */
final class ResponseReader {
    private final InputStream mIn;

    ResponseReader(Socket socket) throws IOException {
        mIn = socket.getInputStream();
    }

    /** Returns the next response; an empty or partial one if the connection ended before. */
    String next() throws IOException {
        StringBuilder text = new StringBuilder();
        if (!readUntil(text, "\r\n\r\n")) {
            return text.toString();
        }
        String head = text.toString().toLowerCase(Locale.ROOT);
        if (head.contains("transfer-encoding: chunked")) {
            readUntil(text, "0\r\n\r\n");
        } else if (head.contains("content-length: ")) {
            int start = head.indexOf("content-length: ") + 16;
            int length = Integer.parseInt(head.substring(start, head.indexOf('\r', start)));
            text.append(new String(mIn.readNBytes(length), StandardCharsets.ISO_8859_1));
        }
        return text.toString();
    }

    private boolean readUntil(StringBuilder text, String end) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        boolean found = false;
        while (!found) {
            int next = mIn.read();
            if (next < 0) {
                break;
            }
            bytes.write(next);
            found = bytes.toString(StandardCharsets.ISO_8859_1).endsWith(end);
        }
        text.append(bytes.toString(StandardCharsets.ISO_8859_1));
        return found;
    }
}

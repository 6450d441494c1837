import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A client's channel, which is kept for many requests. */
final class Client implements AutoCloseable {
    private final Socket mSocket = new Socket();
    private final BufferedInputStream mIn;

    /** The number of answers that came on this channel. */
    private int mAnswers;

    Client(InetSocketAddress gateway) throws IOException {
        mSocket.connect(gateway, 1_000);
        mSocket.setTcpNoDelay(true);
        mSocket.setSoTimeout(30_000);
        mIn = new BufferedInputStream(mSocket.getInputStream());
    }

    boolean isKept() {
        return mAnswers > 0;
    }

    /** Sends a POST with a body. */
    void send(String id, String path, String key, long deadlineMillis, byte[] body)
            throws IOException {
        OutputStream out = mSocket.getOutputStream();
        out.write(
                Wire.bytes(
                        "POST " + path + " HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: " + id
                                + "\r\nDeadline-Ms: " + deadlineMillis
                                + (key.isEmpty() ? "" : "\r\nAuthorization: Bearer " + key)
                                + "\r\nContent-Length: " + body.length + "\r\n\r\n"));
        out.write(body);
        out.flush();
    }

    /** Sends a request for a stream. */
    void sendStream(String id, String path, String key, int promptTokens, int outputTokens)
            throws IOException {
        OutputStream out = mSocket.getOutputStream();
        out.write(
                Wire.bytes(
                        "POST " + path + " HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: " + id
                                + "\r\nDeadline-Ms: 15000\r\nModel: m\r\nToken-Usage: "
                                + promptTokens + "," + outputTokens + "\r\nPrompt-Prefix: "
                                + id.substring(8) + ":" + promptTokens
                                + "\r\nAuthorization: Bearer " + key
                                + "\r\nContent-Length: 5\r\n\r\nhello"));
        out.flush();
    }

    /** Returns the head of the answer; null if the channel ended without one. */
    Wire.Message head() throws IOException {
        return Wire.head(mIn);
    }

    /** Returns whether the rest of a stream arrives whole, up to its event 40. */
    boolean restOfStream() throws IOException {
        StringBuilder events = new StringBuilder();
        for (int size = Wire.chunkSize(mIn); size > 0; size = Wire.chunkSize(mIn)) {
            events.append(new String(Wire.exactly(mIn, size), StandardCharsets.ISO_8859_1));
            Wire.line(mIn);
        }
        Wire.line(mIn);
        return events.indexOf("id: 40\n") >= 0;
    }

    /** Returns the answer; null if the channel ended without one. */
    Wire.Message answer() throws IOException {
        Wire.Message answer = Wire.read(mIn);
        if (answer != null) {
            mAnswers++;
        }
        return answer;
    }

    @Override
    public void close() throws IOException {
        mSocket.close();
    }
}

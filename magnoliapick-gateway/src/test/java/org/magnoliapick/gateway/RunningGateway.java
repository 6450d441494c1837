package org.magnoliapick.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.IntFunction;
import org.magnoliapick.gateway.internal.GatewayProcess;

/** A gateway on loopback addresses whose configuration and upstreams are changed by tests. */
public final class RunningGateway implements AutoCloseable {
    /** Longer than any response takes, and shorter than the timeouts of tests. */
    private static final int READ_TIMEOUT_MILLIS = 10_000;

    private static final String RESPONSE_HEAD = "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: x\r\n";

    private volatile ByteArrayOutputStream mLog = new ByteArrayOutputStream();

    /** How far the gateway's clock is ahead of the real one. */
    private final AtomicLong mClockLeadMillis = new AtomicLong();

    private final AtomicReference<Error> mClockFault = new AtomicReference<>();
    private final List<AutoCloseable> mCloseables = new ArrayList<>();
    private final FakeStore mStore;
    private final FakeServer mStorePort;
    private final ConfigDialect mDialect;
    private final GatewaySettings mSettings;
    private GatewayProcess mProcess;
    private int mVersion;

    /** Starts a gateway with a configuration, see {@link ConfigDialect}. */
    public RunningGateway(ConfigDialect dialect, String config) throws Exception {
        this(dialect, config, TestSettings::withStore);
    }

    /**
     * Starts a gateway with a configuration.
     *
     * @param settings returns the settings with a store at a port
     */
    public RunningGateway(
            ConfigDialect dialect, String config, IntFunction<GatewaySettings> settings)
            throws Exception {
        this(dialect, new FakeStore(), settings);
        mCloseables.add(mStore);
        configure(config);
    }

    private RunningGateway(
            ConfigDialect dialect, FakeStore store, IntFunction<GatewaySettings> settings)
            throws Exception {
        mDialect = dialect;
        mStore = store;
        mStorePort = store.openPort();
        mCloseables.add(mStorePort);
        mSettings = settings.apply(mStorePort.port());
        startProcess();
    }

    /** Starts another gateway with the same store; it has to be closed before this one. */
    public RunningGateway startAnother(IntFunction<GatewaySettings> settings) throws Exception {
        RunningGateway other = new RunningGateway(mDialect, mStore, settings);
        other.awaitLogged("\"config.in-force\"");
        return other;
    }

    private void startProcess() throws Exception {
        mProcess =
                new GatewayProcess(
                        mSettings,
                        mDialect,
                        new PrintStream(mLog, true, StandardCharsets.UTF_8),
                        this::readClock);
        mProcess.start();
    }

    /** Stops the gateway and starts it again with an empty log. */
    public void restart() throws Exception {
        mProcess.close();
        mLog = new ByteArrayOutputStream();
        startProcess();
        awaitLogged("\"config.in-force\"");
    }

    private long readClock() {
        Error fault = mClockFault.getAndSet(null);
        if (fault != null) {
            throw fault;
        }
        return System.nanoTime() / 1_000_000 + mClockLeadMillis.get();
    }

    /** Makes the next step of the gateway that reads the clock fail, and waits until it has. */
    public void failNextStep(Error fault) {
        mClockFault.set(fault);
        while (mClockFault.get() != null) {
            assertThat(Thread.currentThread().isInterrupted()).as(log()).isFalse();
            Thread.onSpinWait();
        }
    }

    /** Appends a version of the configuration and waits until it is in force. */
    public void configure(String config) {
        appendConfig(config);
        awaitLogged("\"config.in-force\",\"version\":" + mVersion + ",");
    }

    /** Appends a version of the configuration. */
    public void appendConfig(String config) {
        mVersion++;
        mStore.append(StoreTopic.CONFIG, "config", "version " + mVersion + ";" + config);
    }

    /** Starts an upstream of a service, which is listed under an id. */
    public FakeServer addUpstream(String id, String service, FakeServer.Script script)
            throws IOException {
        FakeServer upstream = new FakeServer(script);
        mCloseables.add(0, upstream);
        listUpstream(id, service + " " + upstream.port() + " 1");
        return upstream;
    }

    /** Lists an upstream with an entry as {@link ConfigDialect} reads it. */
    public void listUpstream(String id, String entry) {
        mStore.append(StoreTopic.UPSTREAMS, id, entry);
        awaitLogged("\"upstream.listed\",\"upstream\":\"" + id + "\"");
    }

    /** Removes an upstream from the list. */
    public void removeUpstream(String id) {
        mStore.append(StoreTopic.UPSTREAMS, id, "");
        awaitLogged("\"upstream.ended\",\"upstream\":\"" + id + "\"");
    }

    /** Appends a record to a topic of the store. */
    public void append(StoreTopic topic, String key, String value) {
        mStore.append(topic, key, value);
    }

    /** Loses the records of a topic from an offset on and begins a new epoch. */
    public void restoreStore(StoreTopic topic, int offset) {
        mStore.restore(topic, offset);
        awaitLogged("\"store.restored\"");
    }

    /** Cuts the gateway off from the store for good. */
    public void loseStore() throws IOException {
        mStorePort.close();
    }

    /** Moves the gateway's clock forward. */
    public void advanceClock(long millis) {
        mClockLeadMillis.addAndGet(millis);
    }

    /** Opens a connection as a caller; reads from it fail after a while without any byte. */
    public Socket connect() throws IOException {
        Socket socket = new Socket("127.0.0.1", mProcess.callerPort());
        socket.setSoTimeout(READ_TIMEOUT_MILLIS);
        return socket;
    }

    /** Begins a stop and waits until the gateway has noticed it; closing waits for its end. */
    public void beginStop() {
        Thread thread = new Thread(mProcess::stop, "stop");
        thread.start();
        mCloseables.add(thread::join);
        awaitLogged("instance.stopping");
    }

    /** Waits until a text was logged; lines are written in batches. */
    public void awaitLogged(String text) {
        while (!log().contains(text)) {
            // Lets the timeout of the test end it.
            assertThat(Thread.currentThread().isInterrupted()).as(text + " in " + log()).isFalse();
            Thread.onSpinWait();
        }
    }

    /** Returns the log. */
    public String log() {
        return mLog.toString(StandardCharsets.UTF_8);
    }

    /** Returns the text of a request without a body. */
    public static String request(String route, String id) {
        return request(route, id, "");
    }

    /** Returns the text of a request. */
    public static String request(String route, String id, String body) {
        return "POST /"
                + route
                + "/x HTTP/1.1\r\nHost: 127.0.0.1\r\nId: "
                + id
                + "\r\nContent-Length: "
                + body.length()
                + "\r\n\r\n"
                + body;
    }

    /** Returns the identifier of a request. */
    public static String requestId(String request) {
        int start = request.indexOf("Id: ") + 4;
        return request.substring(start, request.indexOf('\r', start));
    }

    /** Returns a complete response to a request. */
    public static String response(String request) {
        return RESPONSE_HEAD.formatted(requestId(request)) + "Content-Length: 4\r\n\r\nbody";
    }

    /** Returns the head of a stream that responds to a request. */
    public static String streamHead(String request) {
        return RESPONSE_HEAD.formatted(requestId(request)) + "Transfer-Encoding: chunked\r\n\r\n";
    }

    /** Returns an event of a stream as a chunk. */
    public static String event(int number) {
        String event = "id: " + number + "\ndata: x\n\n";
        return Integer.toHexString(event.length()) + "\r\n" + event + "\r\n";
    }

    @Override
    public void close() throws Exception {
        mProcess.close();
        for (AutoCloseable each : mCloseables) {
            each.close();
        }
    }
}

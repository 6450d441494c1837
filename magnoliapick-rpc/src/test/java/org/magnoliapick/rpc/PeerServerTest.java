package org.magnoliapick.rpc;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.magnoliapick.lib.InstanceId;
import org.magnoliapick.rpc.gen.Bundle;
import org.magnoliapick.rpc.gen.ShareItem;

final class PeerServerTest {
    private static final PeerKey OLD_KEY = new PeerKey("old", "an old secret of the fleet");
    private static final PeerKey NEW_KEY = new PeerKey("new", "a new secret of the fleet");
    private static final InstanceId SERVER = new InstanceId("router-1");
    private static final InstanceId CLIENT = new InstanceId("router-2");
    private static final Duration TIMEOUT = Duration.ofSeconds(20);

    private final InstantSource mClock = InstantSource.fixed(Instant.ofEpochMilli(1_000_000));
    private final Recorder mRecorder = new Recorder();
    private PeerServer mServer;

    @BeforeEach
    void startServer() throws Exception {
        mServer =
                new PeerServer(
                        SERVER,
                        new InetSocketAddress("127.0.0.1", 0),
                        new PeerSigner(List.of(NEW_KEY, OLD_KEY)),
                        mRecorder,
                        mClock);
        mServer.start();
    }

    @AfterEach
    void stopServer() {
        mServer.close();
    }

    @Test
    void deliversItemsWithTheirSender() throws Exception {
        try (PeerLinks links = linksSigning(OLD_KEY, mClock)) {
            links.send(address(SERVER), item("hello"));
            Bundle bundle = mRecorder.next();
            assertThat(bundle.getFromInstance()).isEqualTo(CLIENT.value());
            assertThat(bundle.getIncarnation()).isEqualTo(7);
            assertThat(bundle.getItems()).containsExactly(item("hello"));
        }
    }

    @Test
    void dropsABundleOfAnUnknownKey() throws Exception {
        PeerKey stranger = new PeerKey("old", "the secret of a stranger");
        assertNotTaken(linksSigning(stranger, mClock), SERVER);
    }

    @Test
    void dropsABundleMeantForAnotherInstance() throws Exception {
        assertNotTaken(linksSigning(NEW_KEY, mClock), new InstanceId("router-9"));
    }

    @Test
    void dropsABundleFromAnotherTime() throws Exception {
        Duration skew = Duration.ofMillis(PeerServer.MAX_SKEW_MILLIS + 1);
        assertNotTaken(linksSigning(NEW_KEY, InstantSource.offset(mClock, skew)), SERVER);
    }

    @Test
    void answersAQuery() throws Exception {
        try (PeerLinks links = linksSigning(NEW_KEY, mClock)) {
            byte[] answer =
                    links.ask(address(SERVER), "echo", "question".getBytes(UTF_8), TIMEOUT).get();
            assertThat(new String(answer, UTF_8)).isEqualTo("router-2 asked question");
        }
    }

    @Test
    void failsAQueryOfAnUnknownTopic() throws Exception {
        try (PeerLinks links = linksSigning(NEW_KEY, mClock)) {
            assertThatThrownBy(
                            () -> links.ask(address(SERVER), "other", new byte[0], TIMEOUT).get())
                    .isInstanceOf(ExecutionException.class)
                    .hasMessageContaining("does not know the topic");
        }
    }

    @Test
    void refusesAShortSecret() {
        assertThatThrownBy(() -> new PeerKey("k", "short"))
                .isInstanceOf(IllegalArgumentException.class);
    }

    /** Sends a bundle that must be dropped, then a good one, which must be the only one taken. */
    private void assertNotTaken(PeerLinks badLinks, InstanceId addressee) throws Exception {
        try (badLinks;
                PeerLinks links = linksSigning(NEW_KEY, mClock)) {
            badLinks.send(address(addressee), item("bad"));
            // The link sends its next bundle only after the first one has left.
            badLinks.send(address(addressee), item("bad too"));
            links.send(address(SERVER), item("good"));
            assertThat(mRecorder.next().getItems()).containsExactly(item("good"));
            links.ask(address(SERVER), "echo", new byte[0], TIMEOUT).get();
            assertThat(mRecorder.waiting()).isZero();
        }
    }

    private PeerAddress address(InstanceId id) {
        return new PeerAddress(id, "127.0.0.1", mServer.port());
    }

    private static PeerLinks linksSigning(PeerKey key, InstantSource clock) throws Exception {
        return new PeerLinks(
                new PeerLinks.Sender(
                        CLIENT, 7, () -> false, () -> 3, new PeerSigner(List.of(key)), clock));
    }

    private static ShareItem item(String text) {
        return new ShareItem(1, ByteBuffer.wrap(text.getBytes(UTF_8)));
    }

    private static final class Recorder implements PeerHandler {
        private final BlockingQueue<Bundle> mBundles = new LinkedBlockingQueue<>();

        Bundle next() throws InterruptedException {
            Bundle bundle = mBundles.poll(TIMEOUT.toSeconds(), TimeUnit.SECONDS);
            assertThat(bundle).as("a bundle arrived in time").isNotNull();
            return bundle;
        }

        int waiting() {
            return mBundles.size();
        }

        @Override
        public void onBundle(Bundle bundle) {
            mBundles.add(bundle);
        }

        @Override
        public Optional<byte[]> onQuery(InstanceId from, String topic, byte[] content) {
            if (!topic.equals("echo")) {
                return Optional.empty();
            }
            String answer = from + " asked " + new String(content, UTF_8);
            return Optional.of(answer.getBytes(UTF_8));
        }
    }
}

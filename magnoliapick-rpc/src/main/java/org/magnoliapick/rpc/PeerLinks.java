package org.magnoliapick.rpc;

import java.io.IOException;
import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import org.apache.thrift.async.TAsyncClientManager;
import org.magnoliapick.lib.InstanceId;
import org.magnoliapick.rpc.gen.ShareItem;

/** The connections to other instances. One selector thread carries all of them. */
public final class PeerLinks implements AutoCloseable {
    private final Sender mSender;
    private final TAsyncClientManager mManager;
    private final Map<InstanceId, PeerLink> mLinks = new ConcurrentHashMap<>();
    private final LongAdder mSentBytes = new LongAdder();
    private final LongAdder mSentBundles = new LongAdder();
    private final LongAdder mDroppedItems = new LongAdder();

    /**
     * What every bundle says of its sender.
     *
     * @param id this instance
     * @param incarnation the start of this process in milliseconds since the epoch
     * @param leaving whether this instance is stopping
     * @param configOffset the configuration offset in force here
     * @param signer signs the messages
     * @param clock the present time
     */
    public record Sender(
            InstanceId id,
            long incarnation,
            BooleanSupplier leaving,
            LongSupplier configOffset,
            PeerSigner signer,
            InstantSource clock) {}

    /**
     * Starts the selector thread.
     *
     * @throws IOException if no selector can be opened
     */
    public PeerLinks(Sender sender) throws IOException {
        mSender = sender;
        mManager = new TAsyncClientManager();
    }

    /** Sends an item to an instance, together with others that wait; it may be lost. */
    public void send(PeerAddress to, ShareItem item) {
        linkTo(to).offer(List.of(item));
    }

    /** Sends an empty bundle, which tells the receiver that this instance lives. */
    public void greet(PeerAddress to) {
        linkTo(to).offer(List.of());
    }

    /**
     * Asks an instance; the future fails if it does not answer in time or does not know the topic.
     */
    public CompletableFuture<byte[]> ask(
            PeerAddress to, String topic, byte[] content, Duration timeout) {
        return new PeerQuestion(mSender, mManager, to).ask(topic, content, timeout);
    }

    /** Returns the bytes of all bundles sent. */
    public long sentBytes() {
        return mSentBytes.sum();
    }

    /** Returns the number of bundles sent. */
    public long sentBundles() {
        return mSentBundles.sum();
    }

    /** Returns the number of items dropped because a peer could not be reached. */
    public long droppedItems() {
        return mDroppedItems.sum();
    }

    @Override
    public void close() {
        mManager.stop();
        mLinks.values().forEach(PeerLink::close);
    }

    private PeerLink linkTo(PeerAddress to) {
        return mLinks.compute(
                to.id(),
                (id, present) -> {
                    if (present != null && present.address().equals(to)) {
                        return present;
                    }
                    if (present != null) {
                        present.close();
                    }
                    return new PeerLink(mSender, mManager, to, this::count, mDroppedItems::add);
                });
    }

    private void count(int bytes) {
        mSentBytes.add(bytes);
        mSentBundles.increment();
    }
}

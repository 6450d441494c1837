package org.magnoliapick.rpc;

import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.function.IntConsumer;
import org.apache.thrift.TException;
import org.apache.thrift.async.AsyncMethodCallback;
import org.apache.thrift.async.TAsyncClientManager;
import org.apache.thrift.protocol.TCompactProtocol;
import org.apache.thrift.transport.TNonblockingSocket;
import org.apache.thrift.transport.TNonblockingTransport;
import org.magnoliapick.rpc.gen.Bundle;
import org.magnoliapick.rpc.gen.Peer;
import org.magnoliapick.rpc.gen.ShareItem;
import org.magnoliapick.rpc.gen.Signed;

/**
 * The connection to one instance. While a bundle is on its way, further items wait and leave
 * together in the next one; a peer that cannot be reached costs at most {@link #MAX_WAITING} items.
 */
final class PeerLink {
    /** The most items that wait; the oldest are dropped beyond it. */
    static final int MAX_WAITING = 4_096;

    private static final int TIMEOUT_MILLIS = 2_000;

    private final PeerLinks.Sender mSender;
    private final TAsyncClientManager mManager;
    private final PeerAddress mAddress;
    private final IntConsumer mOnSent;
    private final IntConsumer mOnDropped;
    private final Deque<ShareItem> mWaiting = new ArrayDeque<>();
    private Optional<TNonblockingTransport> mTransport = Optional.empty();
    private Optional<Peer.AsyncClient> mClient = Optional.empty();
    private boolean mGreetingWaits;
    private boolean mSending;
    private boolean mClosed;

    PeerLink(
            PeerLinks.Sender sender,
            TAsyncClientManager manager,
            PeerAddress address,
            IntConsumer onSent,
            IntConsumer onDropped) {
        mSender = sender;
        mManager = manager;
        mAddress = address;
        mOnSent = onSent;
        mOnDropped = onDropped;
    }

    PeerAddress address() {
        return mAddress;
    }

    synchronized void offer(List<ShareItem> items) {
        mGreetingWaits |= items.isEmpty();
        mWaiting.addAll(items);
        while (mWaiting.size() > MAX_WAITING) {
            mWaiting.removeFirst();
            mOnDropped.accept(1);
        }
        sendNext();
    }

    synchronized void close() {
        mClosed = true;
        disconnect();
    }

    private void sendNext() {
        boolean nothingWaits = mWaiting.isEmpty() && !mGreetingWaits;
        if (mClosed || mSending || nothingWaits) {
            return;
        }
        List<ShareItem> items = new ArrayList<>(mWaiting);
        mWaiting.clear();
        mGreetingWaits = false;
        mSending = true;
        try {
            Signed signed = mSender.signer().sign(bundleOf(items));
            client().deliver(signed, new Sent(items.size(), signed.payload.remaining()));
        } catch (IOException | TException e) {
            failed(items.size());
        }
    }

    private Bundle bundleOf(List<ShareItem> items) {
        return new Bundle(
                mSender.id().value(),
                mSender.incarnation(),
                mSender.clock().millis(),
                mAddress.id().value(),
                mSender.leaving().getAsBoolean(),
                mSender.configOffset().getAsLong(),
                items);
    }

    private Peer.AsyncClient client() throws IOException, TException {
        if (mClient.isEmpty()) {
            TNonblockingSocket socket =
                    new TNonblockingSocket(mAddress.host(), mAddress.port(), TIMEOUT_MILLIS);
            Peer.AsyncClient client =
                    new Peer.AsyncClient(new TCompactProtocol.Factory(), mManager, socket);
            client.setTimeout(TIMEOUT_MILLIS);
            mTransport = Optional.of(socket);
            mClient = Optional.of(client);
        }
        return mClient.get();
    }

    private synchronized void sent(int bytes) {
        mSending = false;
        mOnSent.accept(bytes);
        sendNext();
    }

    private synchronized void failed(int items) {
        mSending = false;
        mOnDropped.accept(items);
        disconnect();
    }

    private void disconnect() {
        mTransport.ifPresent(TNonblockingTransport::close);
        mTransport = Optional.empty();
        mClient = Optional.empty();
    }

    private final class Sent implements AsyncMethodCallback<Void> {
        private final int mItems;
        private final int mBytes;

        Sent(int items, int bytes) {
            mItems = items;
            mBytes = bytes;
        }

        @Override
        public void onComplete(Void nothing) {
            sent(mBytes);
        }

        @Override
        public void onError(Exception exception) {
            failed(mItems);
        }
    }
}

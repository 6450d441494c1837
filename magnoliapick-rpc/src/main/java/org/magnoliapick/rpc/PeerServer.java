package org.magnoliapick.rpc;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.time.InstantSource;
import java.util.Optional;
import org.apache.thrift.TException;
import org.apache.thrift.protocol.TCompactProtocol;
import org.apache.thrift.server.TThreadedSelectorServer;
import org.apache.thrift.transport.TNonblockingServerSocket;
import org.apache.thrift.transport.TTransportException;
import org.magnoliapick.lib.InstanceId;
import org.magnoliapick.rpc.gen.Bundle;
import org.magnoliapick.rpc.gen.Peer;
import org.magnoliapick.rpc.gen.Query;
import org.magnoliapick.rpc.gen.Reply;
import org.magnoliapick.rpc.gen.Signed;

/** Listens for other instances and hands authenticated messages to a {@link PeerHandler}. */
public final class PeerServer implements AutoCloseable {
    private static final Logger LOG = System.getLogger(PeerServer.class.getName());

    /** The largest message, in bytes. */
    static final int MAX_MESSAGE_BYTES = 8 * 1024 * 1024;

    /** The greatest difference between a message's time and ours, in milliseconds. */
    static final long MAX_SKEW_MILLIS = 120_000;

    private static final int WORKER_THREADS = 4;

    private final InstanceId mSelf;
    private final PeerSigner mSigner;
    private final PeerHandler mHandler;
    private final InstantSource mClock;
    private final TNonblockingServerSocket mSocket;
    private final TThreadedSelectorServer mServer;
    private final Thread mThread;

    /**
     * Binds the address; port 0 takes a free one.
     *
     * @throws TTransportException if the address cannot be bound
     */
    public PeerServer(
            InstanceId self,
            InetSocketAddress address,
            PeerSigner signer,
            PeerHandler handler,
            InstantSource clock)
            throws TTransportException {
        mSelf = self;
        mSigner = signer;
        mHandler = handler;
        mClock = clock;
        mSocket = new TNonblockingServerSocket(address);
        TThreadedSelectorServer.Args args = new TThreadedSelectorServer.Args(mSocket);
        args.selectorThreads(1);
        args.workerThreads(WORKER_THREADS);
        args.maxReadBufferBytes = MAX_MESSAGE_BYTES;
        args.protocolFactory(new TCompactProtocol.Factory());
        args.processor(new Peer.Processor<>(new Handler()));
        mServer = new TThreadedSelectorServer(args);
        mThread = new Thread(mServer::serve, "peer-server");
        mThread.setDaemon(true);
    }

    /** Starts to serve. */
    public void start() {
        mThread.start();
    }

    /** Returns the port in use. */
    public int port() {
        return mSocket.getPort();
    }

    @Override
    public void close() {
        mServer.stop();
    }

    private boolean isTimely(long sentAtMillis) {
        return Math.abs(mClock.millis() - sentAtMillis) <= MAX_SKEW_MILLIS;
    }

    private boolean isForUs(String toInstance, long sentAtMillis) {
        return mSelf.value().equals(toInstance) && isTimely(sentAtMillis);
    }

    private final class Handler implements Peer.Iface {
        @Override
        public void deliver(Signed signed) {
            Optional<Bundle> bundle = mSigner.open(signed, new Bundle());
            if (bundle.isEmpty()) {
                LOG.log(Level.WARNING, "[peer] Dropped a bundle that no known key signed.");
                return;
            }
            if (!isForUs(bundle.get().getToInstance(), bundle.get().getSentAtMillis())) {
                LOG.log(Level.WARNING, "[peer] Dropped a bundle for another instance or time.");
                return;
            }
            mHandler.onBundle(bundle.get());
        }

        @Override
        public Signed ask(Signed signed) throws TException {
            Optional<Query> query = mSigner.open(signed, new Query());
            boolean accepted =
                    query.isPresent()
                            && isForUs(query.get().getToInstance(), query.get().getSentAtMillis());
            Optional<byte[]> answer = accepted ? answer(query.get()) : Optional.empty();
            Reply reply =
                    new Reply(
                            mSelf.value(),
                            mClock.millis(),
                            answer.isPresent(),
                            ByteBuffer.wrap(answer.orElse(new byte[0])));
            return mSigner.sign(reply);
        }

        private Optional<byte[]> answer(Query query) {
            InstanceId from = new InstanceId(query.getFromInstance());
            return mHandler.onQuery(from, query.getTopic(), query.getContent());
        }
    }
}

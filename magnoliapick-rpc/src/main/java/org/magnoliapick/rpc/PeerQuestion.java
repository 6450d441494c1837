package org.magnoliapick.rpc;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.apache.thrift.TException;
import org.apache.thrift.async.AsyncMethodCallback;
import org.apache.thrift.async.TAsyncClientManager;
import org.apache.thrift.protocol.TCompactProtocol;
import org.apache.thrift.transport.TNonblockingSocket;
import org.magnoliapick.rpc.gen.Peer;
import org.magnoliapick.rpc.gen.Query;
import org.magnoliapick.rpc.gen.Reply;
import org.magnoliapick.rpc.gen.Signed;

/** Asks one instance one question over a connection of its own. */
final class PeerQuestion {
    private final PeerLinks.Sender mSender;
    private final TAsyncClientManager mManager;
    private final PeerAddress mTo;
    private final CompletableFuture<byte[]> mAnswer = new CompletableFuture<>();

    PeerQuestion(PeerLinks.Sender sender, TAsyncClientManager manager, PeerAddress to) {
        mSender = sender;
        mManager = manager;
        mTo = to;
    }

    CompletableFuture<byte[]> ask(String topic, byte[] content, Duration timeout) {
        int timeoutMillis = Math.toIntExact(timeout.toMillis());
        try {
            TNonblockingSocket socket =
                    new TNonblockingSocket(mTo.host(), mTo.port(), timeoutMillis);
            mAnswer.whenComplete((answer, failure) -> socket.close());
            Peer.AsyncClient client =
                    new Peer.AsyncClient(new TCompactProtocol.Factory(), mManager, socket);
            client.setTimeout(timeoutMillis);
            client.ask(mSender.signer().sign(queryOf(topic, content)), new Answered());
        } catch (IOException | TException e) {
            mAnswer.completeExceptionally(e);
        }
        return mAnswer;
    }

    private Query queryOf(String topic, byte[] content) {
        return new Query(
                mSender.id().value(),
                mSender.clock().millis(),
                mTo.id().value(),
                topic,
                ByteBuffer.wrap(content));
    }

    private void take(Signed signed) {
        Optional<Reply> reply = mSender.signer().open(signed, new Reply());
        boolean ours = reply.isPresent() && reply.get().getFromInstance().equals(mTo.id().value());
        if (!ours) {
            mAnswer.completeExceptionally(new IOException("The reply is not " + mTo.id() + "'s"));
        } else if (!reply.get().isKnown()) {
            mAnswer.completeExceptionally(new IOException(mTo.id() + " does not know the topic"));
        } else {
            mAnswer.complete(reply.get().getContent());
        }
    }

    private final class Answered implements AsyncMethodCallback<Signed> {
        @Override
        public void onComplete(Signed signed) {
            take(signed);
        }

        @Override
        public void onError(Exception exception) {
            mAnswer.completeExceptionally(exception);
        }
    }
}

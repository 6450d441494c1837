package org.magnoliapick.gateway.internal.relay;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import org.magnoliapick.errors.ErrorKind;

/** Records how the response ended, and fails to write one if asked to. */
final class FakeCallerResponse implements CallerResponse {
    private final CompletableFuture<String> mEnd = new CompletableFuture<>();
    private boolean mFailError;
    private boolean mConnected = true;

    private Runnable mOnComplete = () -> {};

    /** Returns how the response ended, once it has. */
    CompletableFuture<String> outcome() {
        return mEnd;
    }

    /** Makes writing an error fail. */
    void failError() {
        mFailError = true;
    }

    /** Closes the caller's connection. */
    void disconnect() {
        mConnected = false;
    }

    /** Sets what runs when a complete response is sent. */
    void onComplete(Runnable step) {
        mOnComplete = step;
    }

    @Override
    public void sendComplete(HttpResponseStatus status, HttpHeaders headers, ByteBuf body) {
        body.release();
        mOnComplete.run();
        mEnd.complete("complete");
    }

    @Override
    public void sendHead(HttpResponseStatus status, HttpHeaders headers) {}

    @Override
    public void sendChunk(ByteBuf chunk) {
        chunk.release();
    }

    @Override
    public void end() {
        mEnd.complete("end");
    }

    @Override
    public void sendError(ErrorKind kind, OptionalLong retryAfterMillis) {
        if (mFailError) {
            throw new IllegalStateException("response");
        }
        mEnd.complete("error " + kind);
    }

    @Override
    public void abort() {
        mEnd.complete("abort");
    }

    @Override
    public void fail(ErrorKind kind) {
        mEnd.complete("fail " + kind);
    }

    @Override
    public boolean isWritable() {
        return true;
    }

    @Override
    public boolean isCallerConnected() {
        return mConnected;
    }
}

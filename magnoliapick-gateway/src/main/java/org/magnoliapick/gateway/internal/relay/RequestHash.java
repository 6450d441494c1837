package org.magnoliapick.gateway.internal.relay;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpRequest;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Optional;
import org.magnoliapick.lib.WorkspaceId;
import org.magnoliapick.relay.Fingerprint;
import org.magnoliapick.relay.Prompt;

/** Computes the fingerprints of requests. */
final class RequestHash {
    private RequestHash() {}

    /** Returns the fingerprint of a request; reads nothing from the body's reader. */
    static Fingerprint of(
            HttpRequest head, Optional<WorkspaceId> workspace, Prompt prompt, ByteBuf body) {
        MessageDigest digest = sha256();
        update(digest, head.method().name());
        update(digest, head.uri());
        update(digest, workspace.map(WorkspaceId::value).orElse(""));
        update(digest, prompt.describeParts());
        for (ByteBuffer each : body.nioBuffers()) {
            digest.update(each);
        }
        return new Fingerprint(ByteBuffer.wrap(digest.digest()).getLong());
    }

    /** Adds a text and an end mark, so that a text does not run into the next one. */
    private static void update(MessageDigest digest, String text) {
        digest.update(text.getBytes(StandardCharsets.UTF_8));
        digest.update((byte) 0);
    }

    private static MessageDigest sha256() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }
}

package org.magnoliapick.router.internal.claim;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import jakarta.inject.Inject;
import jakarta.inject.Provider;
import jakarta.inject.Singleton;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.magnoliapick.lib.AttemptId;
import org.magnoliapick.lib.InstanceId;
import org.magnoliapick.router.internal.RouterIdentity;
import org.magnoliapick.router.internal.caller.KeptAnswer;
import org.magnoliapick.router.internal.peer.PeerPart;
import org.magnoliapick.router.internal.peer.Queries;

/**
 * The answers to claimed requests that this instance ran, kept in memory for a while. A caller that
 * asks again through another instance gets them from there.
 */
@Singleton
public final class KeptAnswers {
    private static final String TOPIC = "kept-answer";
    private static final Duration KEEP_TIME = Duration.ofMinutes(15);
    private static final Duration ASK_TIMEOUT = Duration.ofSeconds(1);
    private static final long MAX_BYTES = 16L * 1024 * 1024;
    private static final int OVERHEAD_BYTES = 512;
    private static final ObjectMapper JSON = new ObjectMapper();

    private final RouterIdentity mSelf;
    private final Provider<PeerPart> mPeers;
    private final Cache<AttemptId, KeptAnswer> mAnswers =
            Caffeine.newBuilder()
                    .expireAfterWrite(KEEP_TIME)
                    .maximumWeight(MAX_BYTES)
                    .weigher((AttemptId id, KeptAnswer kept) -> weightOf(kept))
                    .build();

    @Inject
    KeptAnswers(RouterIdentity self, Provider<PeerPart> peers, Queries queries) {
        mSelf = self;
        mPeers = peers;
        queries.add(this::answer);
    }

    /** Keeps an answer. */
    void keep(AttemptId claim, KeptAnswer answer) {
        mAnswers.put(claim, answer);
    }

    /** Fetches an answer from the instance that ran the request. */
    CompletableFuture<Optional<KeptAnswer>> fetch(InstanceId holder, AttemptId claim) {
        if (holder.equals(mSelf.id())) {
            return CompletableFuture.completedFuture(
                    Optional.ofNullable(mAnswers.getIfPresent(claim)));
        }
        byte[] question = claim.value().getBytes(StandardCharsets.UTF_8);
        return mPeers.get()
                .ask(holder, TOPIC, question, ASK_TIMEOUT)
                .thenApply(KeptAnswers::decode);
    }

    private Optional<byte[]> answer(String topic, byte[] content) {
        if (!topic.equals(TOPIC)) {
            return Optional.empty();
        }
        AttemptId claim = new AttemptId(new String(content, StandardCharsets.UTF_8));
        return Optional.ofNullable(mAnswers.getIfPresent(claim)).map(KeptAnswers::encode);
    }

    private static byte[] encode(KeptAnswer answer) {
        try {
            return JSON.writeValueAsBytes(answer);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("A kept answer can always be written", e);
        }
    }

    private static Optional<KeptAnswer> decode(byte[] bytes) {
        try {
            return Optional.of(JSON.readValue(bytes, KeptAnswer.class));
        } catch (IOException e) {
            return Optional.empty();
        }
    }

    private static int weightOf(KeptAnswer kept) {
        return kept.body().length + OVERHEAD_BYTES;
    }
}

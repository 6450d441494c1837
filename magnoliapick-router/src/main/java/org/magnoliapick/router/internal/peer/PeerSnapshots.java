package org.magnoliapick.router.internal.peer;

import jakarta.inject.Inject;
import jakarta.inject.Provider;
import jakarta.inject.Singleton;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import org.magnoliapick.admin.ConfigFollower;
import org.magnoliapick.admin.SnapshotSource;
import org.magnoliapick.config.ConfigState;
import org.magnoliapick.lib.InstanceId;
import org.magnoliapick.router.internal.RouterIdentity;

/** Hands the configuration state to instances without one, and fetches it from a few others. */
@Singleton
public final class PeerSnapshots implements SnapshotSource {
    private static final String TOPIC = "config-state";
    private static final Duration TIMEOUT = Duration.ofSeconds(1);
    private static final int MAX_ASKED = 3;

    private final Provider<PeerPart> mPeers;
    private final Provider<ConfigFollower> mFollower;
    private final Random mRandom;

    @Inject
    PeerSnapshots(
            RouterIdentity self,
            Provider<PeerPart> peers,
            Provider<ConfigFollower> follower,
            Queries queries) {
        mPeers = peers;
        mFollower = follower;
        mRandom = new Random(self.incarnation());
        queries.add(this::answer);
    }

    @Override
    public List<byte[]> fetch() {
        List<InstanceId> others = new ArrayList<>(mPeers.get().others());
        Collections.shuffle(others, mRandom);
        List<CompletableFuture<byte[]>> questions = new ArrayList<>();
        for (InstanceId other : others.subList(0, Math.min(MAX_ASKED, others.size()))) {
            questions.add(mPeers.get().ask(other, TOPIC, new byte[0], TIMEOUT));
        }
        List<byte[]> answers = new ArrayList<>();
        for (CompletableFuture<byte[]> question : questions) {
            answerTo(question).ifPresent(answers::add);
        }
        return answers;
    }

    private static Optional<byte[]> answerTo(CompletableFuture<byte[]> question) {
        try {
            return Optional.of(question.get());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return Optional.empty();
        } catch (ExecutionException e) {
            return Optional.empty();
        }
    }

    private Optional<byte[]> answer(String topic, byte[] content) {
        if (!topic.equals(TOPIC) || !mFollower.get().isReady()) {
            return Optional.empty();
        }
        return Optional.of(mFollower.get().read(ConfigState::snapshot));
    }
}

package org.magnoliapick.router.internal.admin;

import jakarta.inject.Inject;
import jakarta.inject.Singleton;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import org.magnoliapick.admin.FleetAnswer;
import org.magnoliapick.admin.FleetQuery;
import org.magnoliapick.lib.InstanceId;
import org.magnoliapick.router.internal.RouterIdentity;
import org.magnoliapick.router.internal.peer.PeerPart;
import org.magnoliapick.router.internal.peer.Queries;

/** Asks every instance at the same time, this one without a message. */
@Singleton
public final class PeerFleetQuery implements FleetQuery {
    private final RouterIdentity mSelf;
    private final PeerPart mPeers;
    private final Queries mQueries;

    @Inject
    PeerFleetQuery(RouterIdentity self, PeerPart peers, Queries queries) {
        mSelf = self;
        mPeers = peers;
        mQueries = queries;
    }

    @Override
    public List<FleetAnswer> ask(String topic, byte[] content, Duration timeout) {
        Map<InstanceId, CompletableFuture<byte[]>> questions = new LinkedHashMap<>();
        for (InstanceId other : mPeers.others()) {
            questions.put(other, mPeers.ask(other, topic, content, timeout));
        }
        List<FleetAnswer> answers = new ArrayList<>();
        answers.add(new FleetAnswer(mSelf.id(), mQueries.answer(topic, content)));
        questions.forEach((id, answer) -> answers.add(new FleetAnswer(id, await(answer))));
        return answers;
    }

    /** Waits for an answer; the question's own timeout bounds the wait. */
    private static Optional<byte[]> await(CompletableFuture<byte[]> answer) {
        try {
            return Optional.of(answer.get());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return Optional.empty();
        } catch (ExecutionException e) {
            return Optional.empty();
        }
    }
}

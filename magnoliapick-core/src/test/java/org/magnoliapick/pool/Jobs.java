package org.magnoliapick.pool;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.magnoliapick.lib.FailureDomain;
import org.magnoliapick.lib.InstanceId;
import org.magnoliapick.lib.UpstreamId;
import org.magnoliapick.lib.WorkspaceId;
import org.magnoliapick.relay.Prompt;
import org.magnoliapick.relay.PromptPart;
import org.magnoliapick.route.EngineSpec;
import org.magnoliapick.route.ServiceSpec;

/** Requests and engines for tests. */
final class Jobs {
    static final FailureDomain DOMAIN = new FailureDomain("a");
    static final ServiceSpec ENGINES =
            new ServiceSpec("s", 100, Optional.of(new EngineSpec(10, 100_000, 5)));

    private Jobs() {}

    static ListedUpstream upstream(String name) {
        return new ListedUpstream(new UpstreamId(name), "s", "10.0.0.1:80", DOMAIN, 10, false, 1);
    }

    static PoolScheduler scheduler(String... upstreams) {
        PoolScheduler scheduler = new PoolScheduler(ENGINES, new PoolSettings(4_000, 100));
        scheduler.setUpstreams(List.of(upstreams).stream().map(Jobs::upstream).toList());
        return scheduler;
    }

    /** Returns a request of a workspace that shares a part named by its subject with others. */
    static PoolJob job(long number, String workspace, String subject, int tokens, long nowMillis) {
        return job(number, workspace, subject, tokens, 1, nowMillis);
    }

    /** Returns a request of a workspace with a rank, alone with its prompt. */
    static PoolJob ranked(long number, String workspace, int tokens, int rank, long nowMillis) {
        return job(number, workspace, "subject-" + number, tokens, rank, nowMillis);
    }

    private static PoolJob job(
            long number, String workspace, String subject, int tokens, int rank, long nowMillis) {
        List<PromptPart> parts =
                List.of(
                        new PromptPart(subject, tokens / 2),
                        new PromptPart("own-" + number, tokens - tokens / 2));
        return new PoolJob(
                "request-" + number,
                "s",
                new WorkspaceId(workspace),
                DOMAIN,
                new Prompt(tokens, 100, parts),
                400,
                nowMillis + 400,
                false,
                Set.of(),
                Set.of(),
                false,
                rank,
                nowMillis,
                Optional.empty(),
                number);
    }

    /** Returns the same request of a caller that was refused before. */
    static PoolJob returned(PoolJob job) {
        return copy(job, true, job.requester());
    }

    /** Returns the same request as another instance asks it. */
    static PoolJob asked(PoolJob job, String asker) {
        return copy(job, job.callerRetry(), Optional.of(new InstanceId(asker)));
    }

    private static PoolJob copy(PoolJob job, boolean returned, Optional<InstanceId> asker) {
        return new PoolJob(
                job.id(),
                job.service(),
                job.account(),
                job.domain(),
                job.prompt(),
                job.objectiveMillis(),
                job.dueMillis(),
                returned,
                job.excluded(),
                job.unreachable(),
                job.answerStarted(),
                job.rank(),
                job.submittedMillis(),
                asker,
                job.queryId());
    }
}

package org.magnoliapick.pool;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.magnoliapick.lib.FailureDomain;
import org.magnoliapick.lib.InstanceId;
import org.magnoliapick.lib.UpstreamId;
import org.magnoliapick.lib.WorkspaceId;
import org.magnoliapick.limit.RateLimits;
import org.magnoliapick.limit.UpstreamPauses;
import org.magnoliapick.quarantine.PromptQuarantine;
import org.magnoliapick.relay.Fingerprint;
import org.magnoliapick.relay.Prompt;
import org.magnoliapick.relay.PromptPart;
import org.magnoliapick.relay.RelayRequest;
import org.magnoliapick.relay.Requests;
import org.magnoliapick.route.ColdSpec;
import org.magnoliapick.route.EngineSpec;
import org.magnoliapick.route.RouteKind;
import org.magnoliapick.route.ServiceSpec;

/** Requests and engines for tests. */
final class Jobs {
    static final FailureDomain DOMAIN = new FailureDomain("a");
    static final ServiceSpec ENGINES =
            new ServiceSpec("s", 100, Optional.of(new EngineSpec(10, 100_000, 5)));

    private Jobs() {}

    /** Returns the service with a cold state. */
    static ServiceSpec coldService(long coldMillis, double perSecond) {
        return new ServiceSpec(
                ENGINES.name(),
                ENGINES.maxConnections(),
                ENGINES.engine(),
                Optional.of(new ColdSpec(coldMillis, perSecond)));
    }

    static ListedUpstream upstream(String name) {
        return upstream(name, DOMAIN);
    }

    static ListedUpstream upstream(String name, FailureDomain domain) {
        return new ListedUpstream(new UpstreamId(name), "s", "10.0.0.1:80", domain, 10, false, 1);
    }

    /** Returns an incarnation of an upstream. */
    static ListedUpstream incarnation(String name, long startedMillis) {
        ListedUpstream upstream = upstream(name);
        return new ListedUpstream(
                upstream.id(),
                upstream.service(),
                upstream.address(),
                upstream.domain(),
                upstream.slots(),
                false,
                startedMillis);
    }

    static PoolScheduler scheduler(String... upstreams) {
        return scheduler(new RateLimits(), upstreams);
    }

    static PoolScheduler scheduler(RateLimits limits, String... upstreams) {
        return scheduler(limits, new UpstreamPauses(), upstreams);
    }

    static PoolScheduler scheduler(UpstreamPauses pauses, String... upstreams) {
        return scheduler(new RateLimits(), pauses, upstreams);
    }

    private static PoolScheduler scheduler(
            RateLimits limits, UpstreamPauses pauses, String... upstreams) {
        PoolScheduler scheduler =
                new PoolScheduler(
                        ENGINES,
                        new PoolSettings(4_000, 100),
                        new PromptQuarantine(),
                        limits,
                        pauses);
        scheduler.setUpstreams(List.of(upstreams).stream().map(Jobs::upstream).toList(), 0);
        return scheduler;
    }

    /**
     * Returns a request of a workspace that shares the prompt part named by its subject with other
     * requests.
     */
    static PoolJob job(long queryId, String workspace, String partId, int tokens, long nowMillis) {
        return job(queryId, workspace, partId, tokens, 1, nowMillis);
    }

    /**
     * Returns a request of a workspace with a rank, which shares no prompt part with other
     * requests.
     */
    static PoolJob ranked(long queryId, String workspace, int tokens, int rank, long nowMillis) {
        return job(queryId, workspace, "subject-" + queryId, tokens, rank, nowMillis);
    }

    private static PoolJob job(
            long queryId, String workspace, String partId, int tokens, int rank, long nowMillis) {
        List<PromptPart> parts =
                List.of(
                        new PromptPart(partId, tokens / 2),
                        new PromptPart("own-" + queryId, tokens - tokens / 2));
        return new PoolJob(
                "request-" + queryId,
                "s",
                new WorkspaceId(workspace),
                DOMAIN,
                new Prompt(tokens, 100, parts),
                new Fingerprint(queryId),
                400,
                nowMillis + 400,
                false,
                Set.of(),
                Set.of(),
                false,
                rank,
                nowMillis,
                Optional.empty(),
                queryId);
    }

    /** Returns a resumable request whose prompt has these parts and one of its own. */
    static RelayRequest request(long number, List<String> parts, long nowMillis) {
        return request(number, number, parts, nowMillis);
    }

    /** Returns the same for a request that may repeat the content of another one. */
    static RelayRequest request(long number, long content, List<String> parts, long nowMillis) {
        List<PromptPart> prompt = new ArrayList<>();
        parts.forEach(each -> prompt.add(new PromptPart(each, 100)));
        prompt.add(new PromptPart("own-" + content, 100));
        return new RelayRequest(
                "request-" + number,
                Requests.route(RouteKind.STREAM, true),
                "s",
                Optional.of(new WorkspaceId("w")),
                new Prompt(100 * prompt.size(), 100, prompt),
                new Fingerprint(content),
                OptionalLong.empty(),
                nowMillis,
                nowMillis,
                nowMillis + 10_000,
                1);
    }

    /** Returns the same request as a retry of a caller that was refused before. */
    static PoolJob callerRetry(PoolJob job) {
        return copy(job, true, job.excluded(), job.requester());
    }

    /** Returns the same request as a query of another instance. */
    static PoolJob fromInstance(PoolJob job, String requester) {
        return copy(job, job.callerRetry(), job.excluded(), Optional.of(new InstanceId(requester)));
    }

    /** Returns the same request after it was sent to an upstream. */
    static PoolJob excluding(PoolJob job, String upstream) {
        return copy(job, job.callerRetry(), Set.of(new UpstreamId(upstream)), job.requester());
    }

    private static PoolJob copy(
            PoolJob job,
            boolean callerRetry,
            Set<UpstreamId> excluded,
            Optional<InstanceId> requester) {
        return new PoolJob(
                job.id(),
                job.service(),
                job.account(),
                job.domain(),
                job.prompt(),
                job.fingerprint(),
                job.objectiveMillis(),
                job.dueMillis(),
                callerRetry,
                excluded,
                job.unreachable(),
                job.answerStarted(),
                job.rank(),
                job.submittedMillis(),
                requester,
                job.queryId());
    }
}

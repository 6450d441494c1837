package org.magnoliapick.router.internal.caller;

import jakarta.inject.Inject;
import jakarta.inject.Singleton;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.RejectedExecutionException;
import java.util.stream.Collectors;
import org.magnoliapick.lib.AttemptId;
import org.magnoliapick.lib.TargetKind;
import org.magnoliapick.lib.UpstreamId;
import org.magnoliapick.member.FleetView;
import org.magnoliapick.member.UpstreamMember;
import org.magnoliapick.ports.Endpoint;
import org.magnoliapick.ports.ModelCall;
import org.magnoliapick.ports.ModelEngine;
import org.magnoliapick.ports.PlainService;
import org.magnoliapick.ports.ServiceCall;
import org.magnoliapick.ports.ServiceResult;
import org.magnoliapick.request.AttemptEnd;
import org.magnoliapick.request.RequestAction;
import org.magnoliapick.router.internal.RouterThreads;
import org.magnoliapick.router.internal.member.ViewListener;

/** Runs attempts at upstreams, each on a thread of its own while it lasts. */
@Singleton
public final class Attempts implements ViewListener {
    private static final Logger LOG = System.getLogger(Attempts.class.getName());
    private static final String CONTENT_TYPE = "Content-Type";

    private final ModelEngine mEngines;
    private final PlainService mServices;
    private final RouterThreads mThreads;
    private volatile Map<UpstreamId, UpstreamMember> mUpstreams = Map.of();

    @Inject
    Attempts(ModelEngine engines, PlainService services, RouterThreads threads) {
        mEngines = engines;
        mServices = services;
        mThreads = threads;
    }

    @Override
    public void viewChanged(FleetView view) {
        mUpstreams =
                view.upstreams().stream().collect(Collectors.toMap(UpstreamMember::id, u -> u));
    }

    void start(
            CallerRequest request,
            AttemptId attempt,
            UpstreamId upstream,
            AttemptListener listener) {
        execute(attempt, listener, () -> begin(request, attempt, upstream, listener));
    }

    void resume(
            CallerRequest request, RequestAction.ResumeAttempt resume, AttemptListener listener) {
        execute(
                resume.attempt(),
                listener,
                () -> {
                    Optional<Endpoint> endpoint = endpoint(resume.upstream());
                    Optional<Integer> from = Optional.of(resume.fromChunk());
                    if (endpoint.isEmpty()) {
                        listener.failed(resume.attempt(), AttemptEnd.CUT);
                    } else {
                        runModel(request, resume.attempt(), endpoint.get(), from, listener);
                    }
                });
    }

    void cancel(CallerRequest request, AttemptId attempt, UpstreamId upstream) {
        if (request.kind() == TargetKind.MODEL) {
            endpoint(upstream)
                    .ifPresent(
                            endpoint ->
                                    mThreads.attempts()
                                            .execute(() -> mEngines.cancel(endpoint, attempt)));
        }
    }

    private void execute(AttemptId attempt, AttemptListener listener, Runnable work) {
        try {
            mThreads.attempts().execute(work);
        } catch (RejectedExecutionException e) {
            LOG.log(Level.WARNING, "[attempt] No thread is free for {0}.", attempt);
            mThreads.writers().execute(() -> listener.failed(attempt, AttemptEnd.NOT_SENT));
        }
    }

    private void begin(
            CallerRequest request,
            AttemptId attempt,
            UpstreamId upstream,
            AttemptListener listener) {
        Optional<Endpoint> endpoint = endpoint(upstream);
        if (endpoint.isEmpty()) {
            listener.failed(attempt, AttemptEnd.NOT_SENT);
        } else if (listener.sendBegins(attempt)) {
            run(request, attempt, endpoint.get(), listener);
        }
    }

    private void run(
            CallerRequest request, AttemptId attempt, Endpoint endpoint, AttemptListener listener) {
        if (request.kind() == TargetKind.MODEL) {
            runModel(request, attempt, endpoint, Optional.empty(), listener);
        } else {
            runService(request, attempt, endpoint, listener);
        }
    }

    private void runModel(
            CallerRequest request,
            AttemptId attempt,
            Endpoint endpoint,
            Optional<Integer> from,
            AttemptListener listener) {
        CallerRequest.Content content = request.content();
        ModelCall call =
                new ModelCall(
                        attempt, content.path(), content.body(), request.deadlineMillis(), from);
        mEngines.run(endpoint, call, new ModelRelay(attempt, from.orElse(0), listener));
    }

    private void runService(
            CallerRequest request, AttemptId attempt, Endpoint endpoint, AttemptListener listener) {
        CallerRequest.Content content = request.content();
        ServiceCall call =
                new ServiceCall(
                        attempt,
                        content.method(),
                        content.path(),
                        content.headers(),
                        content.body(),
                        request.deadlineMillis());
        ServiceResult result = mServices.call(endpoint, call);
        if (result instanceof ServiceResult.Whole whole) {
            relay(attempt, whole, listener);
        } else if (result instanceof ServiceResult.Broken broken) {
            LOG.log(Level.INFO, "[attempt] {0} ended: {1}.", attempt, broken.detail());
            listener.failed(attempt, AttemptEnd.valueOf(broken.failure().name()));
        }
    }

    private static void relay(
            AttemptId attempt, ServiceResult.Whole whole, AttemptListener listener) {
        String type =
                whole.headers().getOrDefault(CONTENT_TYPE, List.of()).stream()
                        .findFirst()
                        .orElse("application/octet-stream");
        listener.head(attempt, new AnswerHead(whole.status(), type, whole.headers()));
        listener.chunk(attempt, 0, whole.body(), 0);
        listener.end(attempt, 0, 0);
    }

    private Optional<Endpoint> endpoint(UpstreamId upstream) {
        return Optional.ofNullable(mUpstreams.get(upstream))
                .map(member -> new Endpoint(member.host(), member.port()));
    }
}

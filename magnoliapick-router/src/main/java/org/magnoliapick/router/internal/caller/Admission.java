package org.magnoliapick.router.internal.caller;

import jakarta.inject.Inject;
import jakarta.inject.Singleton;
import jakarta.ws.rs.container.AsyncResponse;
import jakarta.ws.rs.core.Response;
import java.util.Optional;
import org.magnoliapick.errors.ErrorKind;
import org.magnoliapick.lib.RequestId;
import org.magnoliapick.router.internal.Readiness;

/** The door: turns what callers send into requests in progress, or refuses it at once. */
@Singleton
public final class Admission {
    private final Readiness mReadiness;
    private final RequestReader mReader;
    private final Flows mFlows;

    /** Reads a request, or says why it cannot be taken. */
    interface Reading {
        CallerRequest read() throws CallerRejection;
    }

    @Inject
    Admission(Readiness readiness, RequestReader reader, Flows flows) {
        mReadiness = readiness;
        mReader = reader;
        mFlows = flows;
    }

    /** Takes or refuses a request; its answer goes to the response. */
    void admit(RequestId id, AsyncResponse response, Reading reading) {
        if (!mReadiness.takesRequests()) {
            response.resume(rejection(id, ErrorKind.NOT_READY, mReader.config().offset()));
            return;
        }
        try {
            mFlows.begin(reading.read(), response, mReader.config().offset());
        } catch (CallerRejection e) {
            response.resume(rejection(id, e.kind(), mReader.config().offset()));
        }
    }

    static Response rejection(RequestId id, ErrorKind kind, long configOffset) {
        Response.ResponseBuilder builder =
                Response.status(kind.httpStatus())
                        .type(Problem.MEDIA_TYPE)
                        .entity(Problem.of(kind, id.value()));
        new AnswerHeaders(id, Optional.empty(), configOffset)
                .addTo(builder, Optional.of(kind.outcome()));
        builder.header(CallerHeaders.ERROR, kind.wireName());
        kind.retryAfterMillis().ifPresent(ms -> AnswerHeaders.addRetryAfter(builder, ms));
        return builder.build();
    }
}

package org.magnoliapick.router.internal.caller;

import jakarta.inject.Inject;
import jakarta.inject.Singleton;
import jakarta.ws.rs.core.HttpHeaders;
import jakarta.ws.rs.core.MultivaluedMap;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;
import org.magnoliapick.config.FleetConfig;
import org.magnoliapick.config.TargetConfig;
import org.magnoliapick.config.WorkspaceConfig;
import org.magnoliapick.errors.ErrorKind;
import org.magnoliapick.lib.RequestClass;
import org.magnoliapick.lib.RequestId;
import org.magnoliapick.lib.TargetKind;
import org.magnoliapick.router.LimitSettings;
import org.magnoliapick.router.internal.RouterIdentity;

/** Turns what a caller sent into a checked request. */
@Singleton
public final class RequestReader {
    private static final Set<String> IDEMPOTENT_METHODS = Set.of("GET", "HEAD", "PUT", "DELETE");
    private static final int MAX_KEY_CHARS = 200;
    private static final int RADIX = 36;

    private final RouterIdentity mSelf;
    private final KeyIndex mKeys;
    private final LimitSettings mLimits;
    private final InstantSource mClock;
    private final AtomicLong mCount = new AtomicLong();
    private volatile FleetConfig mConfig = FleetConfig.EMPTY;

    @Inject
    RequestReader(RouterIdentity self, KeyIndex keys, LimitSettings limits, InstantSource clock) {
        mSelf = self;
        mKeys = keys;
        mLimits = limits;
        mClock = clock;
    }

    /** Takes a new configuration. */
    public void configChanged(FleetConfig config) {
        mConfig = config;
        mKeys.configChanged(config);
    }

    /** Returns the configuration that new requests are decided under. */
    FleetConfig config() {
        return mConfig;
    }

    /** Names a new request. */
    RequestId newId() {
        String incarnation = Long.toString(mSelf.incarnation(), RADIX);
        String count = Long.toString(mCount.incrementAndGet(), RADIX);
        return new RequestId(mSelf.id() + "-" + incarnation + "-" + count);
    }

    /** Finds the workspace of a key. */
    WorkspaceConfig workspaceOf(HttpHeaders headers) throws CallerRejection {
        return mKeys.find(headers.getHeaderString(HttpHeaders.AUTHORIZATION))
                .orElseThrow(() -> new CallerRejection(ErrorKind.UNAUTHENTICATED));
    }

    /** Reads a model request. */
    CallerRequest readModel(RequestId id, String path, HttpHeaders headers, byte[] body)
            throws CallerRejection {
        WorkspaceConfig workspace = workspaceOf(headers);
        checkSize(body);
        ModelBody parsed = ModelBody.parse(body);
        TargetConfig target = target(parsed.model(), TargetKind.MODEL);
        CallerRequest.Content content =
                new CallerRequest.Content(
                        "POST",
                        path,
                        Map.of(),
                        body,
                        parsed.streamed(),
                        parsed.adapter(),
                        parsed.prefixHashes());
        OptionalDouble hint = hint(headers, parsed.maxTokens());
        return request(id, workspace, target, headers, hint, true, content);
    }

    /** Reads a request to a plain service. */
    CallerRequest readService(
            RequestId id,
            String service,
            String method,
            String pathAndQuery,
            HttpHeaders headers,
            byte[] body)
            throws CallerRejection {
        WorkspaceConfig workspace = workspaceOf(headers);
        checkSize(body);
        TargetConfig target = target(service, TargetKind.SERVICE);
        CallerRequest.Content content =
                new CallerRequest.Content(
                        method,
                        pathAndQuery,
                        passedOn(headers.getRequestHeaders()),
                        body,
                        false,
                        Optional.empty(),
                        List.of());
        boolean idempotent =
                IDEMPOTENT_METHODS.contains(method)
                        || "true".equals(headers.getHeaderString(CallerHeaders.IDEMPOTENT));
        OptionalDouble hint = hint(headers, OptionalDouble.empty());
        return request(id, workspace, target, headers, hint, idempotent, content);
    }

    private CallerRequest request(
            RequestId id,
            WorkspaceConfig workspace,
            TargetConfig target,
            HttpHeaders headers,
            OptionalDouble hint,
            boolean idempotent,
            CallerRequest.Content content)
            throws CallerRejection {
        long nowMillis = mClock.millis();
        return new CallerRequest(
                id,
                workspace.id(),
                target.name(),
                target.kind(),
                requestClass(headers),
                nowMillis,
                nowMillis + deadlineAfterMillis(headers),
                hint,
                idempotent,
                idempotencyKey(headers),
                content);
    }

    private void checkSize(byte[] body) throws CallerRejection {
        if (body.length > mLimits.maxBody.toBytes()) {
            throw new CallerRejection(ErrorKind.TOO_LARGE);
        }
    }

    private TargetConfig target(String name, TargetKind kind) throws CallerRejection {
        TargetConfig target = mConfig.targets().get(name);
        if (target == null || target.kind() != kind) {
            throw new CallerRejection(ErrorKind.NOT_FOUND);
        }
        return target;
    }

    private static RequestClass requestClass(HttpHeaders headers) throws CallerRejection {
        String name = headers.getHeaderString(CallerHeaders.REQUEST_CLASS);
        if (name == null) {
            return RequestClass.STANDARD;
        }
        return RequestClass.ofWireName(name)
                .orElseThrow(() -> new CallerRejection(ErrorKind.BAD_REQUEST));
    }

    private long deadlineAfterMillis(HttpHeaders headers) throws CallerRejection {
        String text = headers.getHeaderString(CallerHeaders.DEADLINE_MILLIS);
        long longestMillis = mLimits.drainTime.toMilliseconds();
        if (text == null) {
            return mLimits.defaultDeadline.toMilliseconds();
        }
        try {
            long millis = Long.parseLong(text.trim());
            if (millis < 1) {
                throw new CallerRejection(ErrorKind.BAD_REQUEST);
            }
            return Math.min(millis, longestMillis);
        } catch (NumberFormatException e) {
            throw new CallerRejection(ErrorKind.BAD_REQUEST);
        }
    }

    private static OptionalDouble hint(HttpHeaders headers, OptionalDouble fallback)
            throws CallerRejection {
        String text = headers.getHeaderString(CallerHeaders.COST_HINT);
        if (text == null) {
            return fallback;
        }
        try {
            double units = Double.parseDouble(text.trim());
            if (!Double.isFinite(units) || units <= 0) {
                throw new CallerRejection(ErrorKind.BAD_REQUEST);
            }
            return OptionalDouble.of(units);
        } catch (NumberFormatException e) {
            throw new CallerRejection(ErrorKind.BAD_REQUEST);
        }
    }

    private static Optional<String> idempotencyKey(HttpHeaders headers) throws CallerRejection {
        String key = headers.getHeaderString(CallerHeaders.IDEMPOTENCY_KEY);
        if (key == null) {
            return Optional.empty();
        }
        if (key.isBlank() || key.length() > MAX_KEY_CHARS) {
            throw new CallerRejection(ErrorKind.BAD_REQUEST);
        }
        return Optional.of(key);
    }

    private static Map<String, List<String>> passedOn(MultivaluedMap<String, String> headers) {
        Map<String, List<String>> passedOn = new HashMap<>();
        headers.forEach(
                (name, values) -> {
                    String lowerCase = name.toLowerCase(Locale.ROOT);
                    boolean ours = lowerCase.startsWith("magnoliapick-");
                    if (!ours && !CallerHeaders.NOT_PASSED_ON.contains(lowerCase)) {
                        passedOn.put(name, List.copyOf(values));
                    }
                });
        return passedOn;
    }
}

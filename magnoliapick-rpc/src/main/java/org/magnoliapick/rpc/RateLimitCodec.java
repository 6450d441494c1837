package org.magnoliapick.rpc;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalDouble;
import org.magnoliapick.lib.UpstreamId;
import org.magnoliapick.limit.RateLimit;
import org.magnoliapick.limit.RateLimitUpdate;
import org.magnoliapick.rpc.gen.UseRateLimit;
import org.magnoliapick.rpc.gen.UseRateLimits;

/** Turns updates on rate limits into messages and back; times travel as ages. */
final class RateLimitCodec {
    private RateLimitCodec() {}

    static UseRateLimits update(RateLimitUpdate update, long nowMillis) {
        UseRateLimits message = new UseRateLimits(update.version());
        for (RateLimit each : update.limits()) {
            UseRateLimit limit =
                    new UseRateLimit(
                            each.upstream().value(),
                            each.startedMillis(),
                            nowMillis - each.seenMillis());
            each.perSecond().ifPresent(limit::setPerSecond);
            message.addToLimits(limit);
        }
        return message;
    }

    static RateLimitUpdate update(UseRateLimits message, long nowMillis) {
        List<RateLimit> limits = new ArrayList<>();
        if (message.isSetLimits()) {
            for (UseRateLimit each : message.getLimits()) {
                limits.add(
                        new RateLimit(
                                new UpstreamId(each.getUpstream()),
                                each.getStartedMillis(),
                                each.isSetPerSecond()
                                        ? OptionalDouble.of(each.getPerSecond())
                                        : OptionalDouble.empty(),
                                nowMillis - each.getAgeMillis()));
            }
        }
        return new RateLimitUpdate(message.getVersion(), limits);
    }
}

package org.magnoliapick.gateway.internal.relay;

import static org.assertj.core.api.Assertions.assertThatCode;

import io.netty.channel.DefaultEventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.OutputStream;
import java.io.PrintStream;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.magnoliapick.gateway.FakeDialect;
import org.magnoliapick.gateway.TestSettings;
import org.magnoliapick.gateway.internal.http.Connector;
import org.magnoliapick.gateway.internal.log.EventLog;
import org.magnoliapick.gateway.internal.log.JsonLineWriter;
import org.magnoliapick.pool.PoolAction;
import org.magnoliapick.pool.PoolCause;
import org.magnoliapick.pool.PoolJob;
import org.magnoliapick.pool.PoolSettings;
import org.magnoliapick.pool.UpstreamDirectory;
import org.magnoliapick.relay.Fingerprint;
import org.magnoliapick.relay.FleetRetryBudget;
import org.magnoliapick.relay.Prompt;
import org.magnoliapick.relay.RelayRequest;
import org.magnoliapick.route.Route;
import org.magnoliapick.route.RouteKind;
import org.magnoliapick.route.WeightedService;

/** Guards against decisions that are lost because one before them matches no request. */
final class UnmatchedPoolActionTest {
    private final NioEventLoopGroup mGroup = new NioEventLoopGroup(1);
    private final DefaultEventLoop mLoop = new DefaultEventLoop();

    @AfterEach
    void close() {
        mGroup.shutdownGracefully();
        mLoop.shutdownGracefully();
    }

    @Test
    void passesOverADecisionOnAnUnknownRequest() {
        EventLog log =
                new EventLog(
                        new JsonLineWriter(new PrintStream(OutputStream.nullOutputStream())),
                        () -> 0);
        RelayContext context =
                new RelayContext(
                        mLoop,
                        TestSettings.DOMAIN,
                        () -> 0,
                        new FakeDialect(),
                        new FleetRetryBudget(1, 100, 10_000, 1),
                        log);
        Relays relays = new Relays(context);
        relays.setPools(
                new Pools(
                        new Connector(mGroup),
                        new PoolSettings(4_000, 8),
                        new UpstreamDirectory(),
                        context.quarantine(),
                        context.rateLimits(),
                        context.pauses(),
                        relays::execute));
        PoolAction action = new PoolAction.Refuse(job(), 1, PoolCause.TOO_LATE);
        assertThatCode(() -> relays.execute(action)).doesNotThrowAnyException();
    }

    private static PoolJob job() {
        Route route =
                new Route(
                        "r",
                        "h",
                        "/r/",
                        RouteKind.SAFE,
                        1_000,
                        1_000,
                        200,
                        1,
                        List.of(new WeightedService("s", 1)),
                        2,
                        true,
                        false);
        RelayRequest request =
                new RelayRequest(
                        "1",
                        route,
                        "s",
                        Optional.empty(),
                        Prompt.UNKNOWN,
                        Fingerprint.UNKNOWN,
                        OptionalLong.empty(),
                        0,
                        0,
                        1_000,
                        1);
        return PoolJob.of(request, TestSettings.DOMAIN, Set.of(), Set.of(), false, 0, 1, 0);
    }
}

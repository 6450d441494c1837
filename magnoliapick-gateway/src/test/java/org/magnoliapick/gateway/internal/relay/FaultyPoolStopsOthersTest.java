package org.magnoliapick.gateway.internal.relay;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.netty.channel.nio.NioEventLoopGroup;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.magnoliapick.gateway.FakeDialect;
import org.magnoliapick.gateway.TestSettings;
import org.magnoliapick.gateway.internal.http.Connector;
import org.magnoliapick.limit.RateLimits;
import org.magnoliapick.limit.UpstreamPauses;
import org.magnoliapick.pool.PoolAction;
import org.magnoliapick.pool.PoolJob;
import org.magnoliapick.pool.PoolSettings;
import org.magnoliapick.pool.UpstreamDirectory;
import org.magnoliapick.quarantine.PromptQuarantine;
import org.magnoliapick.relay.Fingerprint;
import org.magnoliapick.relay.Prompt;
import org.magnoliapick.relay.RelayRequest;
import org.magnoliapick.route.Route;

/** Guards against a fault in the pool of one service that stops the pools of the others. */
final class FaultyPoolStopsOthersTest {
    private final NioEventLoopGroup mGroup = new NioEventLoopGroup(1);
    private final List<PoolAction> mActions = new ArrayList<>();

    @AfterEach
    void close() {
        mGroup.shutdownGracefully();
    }

    /** Fails at the first action. */
    private void execute(PoolAction action) {
        mActions.add(action);
        if (mActions.size() == 1) {
            throw new IllegalStateException("first pool");
        }
    }

    private static PoolJob job(String service, long number) {
        Route route =
                new FakeDialect()
                        .readConfig("", new byte[0])
                        .flatMap(config -> config.routes().find("127.0.0.1", "/safe/x"))
                        .orElseThrow();
        RelayRequest request =
                new RelayRequest(
                        service,
                        route,
                        service,
                        Optional.empty(),
                        Prompt.UNKNOWN,
                        Fingerprint.UNKNOWN,
                        OptionalLong.empty(),
                        0,
                        0,
                        1_000,
                        1);
        return PoolJob.of(request, TestSettings.DOMAIN, Set.of(), Set.of(), false, 0, number, 0);
    }

    @Test
    void ticksAllPools() {
        Pools pools =
                new Pools(
                        new Connector(mGroup),
                        new PoolSettings(4_000, 8),
                        new UpstreamDirectory(),
                        new PromptQuarantine(),
                        new RateLimits(),
                        new UpstreamPauses(),
                        this::execute);
        pools.submit(job("s", 1), 0);
        pools.submit(job("t", 2), 0);
        assertThat(mActions).isEmpty();
        assertThatThrownBy(() -> pools.tick(10_000)).hasMessageContaining("first pool");
        assertThat(mActions)
                .extracting(each -> each.job().id())
                .containsExactlyInAnyOrder("s", "t");
    }
}

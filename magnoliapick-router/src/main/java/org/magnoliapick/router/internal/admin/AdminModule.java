package org.magnoliapick.router.internal.admin;

import com.google.inject.AbstractModule;
import com.google.inject.Provides;
import jakarta.inject.Singleton;
import java.time.Duration;
import java.time.InstantSource;
import java.util.Optional;
import java.util.function.Consumer;
import org.magnoliapick.admin.AdminQueries;
import org.magnoliapick.admin.AdminServices;
import org.magnoliapick.admin.ConfigFollower;
import org.magnoliapick.admin.DecisionKeeper;
import org.magnoliapick.admin.FleetQuery;
import org.magnoliapick.admin.SummaryReader;
import org.magnoliapick.admin.SummaryWriter;
import org.magnoliapick.ports.LogService;
import org.magnoliapick.record.DecisionRecord;
import org.magnoliapick.router.AdminSettings;
import org.magnoliapick.router.internal.RouterIdentity;
import org.magnoliapick.router.internal.member.MemberPart;
import org.magnoliapick.router.internal.peer.Queries;

/** The wiring of records and the administration API. */
public final class AdminModule extends AbstractModule {
    private static final Duration APPEND_TIMEOUT = Duration.ofSeconds(2);

    private final AdminSettings mSettings;

    /** Creates the wiring for the given settings. */
    public AdminModule(AdminSettings settings) {
        mSettings = settings;
    }

    @Override
    protected void configure() {
        bind(FleetQuery.class).to(PeerFleetQuery.class);
    }

    @Provides
    @Singleton
    DecisionKeeper keeper(RouterIdentity self, ConfigFollower config, InstantSource clock) {
        return new DecisionKeeper(self.id(), config::config, clock, mSettings.maxDecisions);
    }

    @Provides
    Consumer<DecisionRecord> records(DecisionKeeper keeper) {
        return keeper;
    }

    @Provides
    @Singleton
    SummaryWriter summaryWriter(LogService log, RouterIdentity self, DecisionKeeper keeper) {
        return new SummaryWriter(log, self.domain().value(), keeper, APPEND_TIMEOUT);
    }

    @Provides
    @Singleton
    SummaryReader summaryReader(LogService log, MemberPart members) {
        return new SummaryReader(log, members::failureDomains);
    }

    @Provides
    @Singleton
    AdminServices services(
            LogService log,
            ConfigFollower follower,
            FleetQuery fleet,
            DecisionKeeper decisions,
            SummaryReader summaries,
            InstantSource clock,
            Queries queries) {
        queries.add(new AdminQueries(follower, decisions)::answer);
        return new AdminServices(
                log,
                follower,
                fleet,
                decisions,
                summaries,
                clock,
                Optional.ofNullable(mSettings.bootstrapKeySha256));
    }
}

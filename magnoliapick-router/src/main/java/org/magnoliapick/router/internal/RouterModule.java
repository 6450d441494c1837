package org.magnoliapick.router.internal;

import com.google.inject.AbstractModule;
import com.google.inject.Provides;
import jakarta.inject.Singleton;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.InstantSource;
import org.apache.thrift.transport.TTransportException;
import org.magnoliapick.admin.ConfigFollower;
import org.magnoliapick.admin.FollowerOptions;
import org.magnoliapick.admin.SnapshotSource;
import org.magnoliapick.lib.FailureDomain;
import org.magnoliapick.lib.InstanceId;
import org.magnoliapick.member.MemberState;
import org.magnoliapick.member.MemberTable;
import org.magnoliapick.member.RouterMember;
import org.magnoliapick.ports.InstanceList;
import org.magnoliapick.ports.LogService;
import org.magnoliapick.ports.ModelEngine;
import org.magnoliapick.ports.PlainService;
import org.magnoliapick.ports.Platform;
import org.magnoliapick.ports.WeightStore;
import org.magnoliapick.request.RetryAllowance;
import org.magnoliapick.router.ClaimSettings;
import org.magnoliapick.router.InstanceSettings;
import org.magnoliapick.router.LimitSettings;
import org.magnoliapick.router.RouterSettings;
import org.magnoliapick.router.internal.admin.AdminModule;
import org.magnoliapick.router.internal.caller.Claims;
import org.magnoliapick.router.internal.caller.Flows;
import org.magnoliapick.router.internal.caller.Retries;
import org.magnoliapick.router.internal.claim.LogClaims;
import org.magnoliapick.router.internal.peer.PeerReceiver;
import org.magnoliapick.router.internal.peer.PeerSnapshots;
import org.magnoliapick.router.internal.share.ShareSink;
import org.magnoliapick.rpc.PeerHandler;
import org.magnoliapick.rpc.PeerLinks;
import org.magnoliapick.rpc.PeerServer;
import org.magnoliapick.rpc.PeerSigner;
import org.magnoliapick.share.ShareNode;
import org.magnoliapick.share.ShareSettings;

/** The wiring of the entry instance. */
public final class RouterModule extends AbstractModule {
    private final RouterSettings mSettings;
    private final Platform mPlatform;
    private final InstantSource mClock;

    /** Creates the wiring for the given settings, ports and clock. */
    public RouterModule(RouterSettings settings, Platform platform, InstantSource clock) {
        mSettings = settings;
        mPlatform = platform;
        mClock = clock;
    }

    @Override
    protected void configure() {
        install(new AdminModule(mSettings.admin()));
        bind(InstantSource.class).toInstance(mClock);
        bind(LimitSettings.class).toInstance(mSettings.limits());
        bind(Platform.class).toInstance(mPlatform);
        bind(ModelEngine.class).toInstance(mPlatform.modelEngine());
        bind(PlainService.class).toInstance(mPlatform.plainService());
        bind(LogService.class).toInstance(mPlatform.logService());
        bind(InstanceList.class).toInstance(mPlatform.instanceList());
        bind(WeightStore.class).toInstance(mPlatform.weightStore());
        bind(ClaimSettings.class).toInstance(mSettings.claims());
        bind(RetryAllowance.class).to(Retries.class);
        bind(Claims.class).to(LogClaims.class);
        bind(SnapshotSource.class).to(PeerSnapshots.class);
        bind(ShareSink.class).to(Flows.class);
        bind(PeerHandler.class).to(PeerReceiver.class);
    }

    @Provides
    @Singleton
    RouterIdentity identity() {
        InstanceSettings instance = mSettings.instance();
        return new RouterIdentity(
                new InstanceId(instance.name()),
                mClock.millis(),
                new FailureDomain(instance.failureDomain()),
                instance.host(),
                instance.callerPort());
    }

    @Provides
    @Singleton
    ShareNode shareNode(RouterIdentity self) {
        ShareSettings settings =
                ShareSettings.defaults(
                        self.id(), self.incarnation(), self.domain(), self.incarnation());
        return mSettings.sharing().policy.create(settings);
    }

    @Provides
    @Singleton
    MemberTable memberTable(RouterIdentity self) {
        RouterMember member =
                new RouterMember(
                        self.id(),
                        self.incarnation(),
                        self.domain(),
                        self.host(),
                        mSettings.peers().port(),
                        MemberState.LIVE);
        return new MemberTable(member, mClock.millis());
    }

    @Provides
    @Singleton
    ConfigFollower configFollower(LogService log, SnapshotSource peers, FollowerOptions options) {
        return new ConfigFollower(log, peers, mClock, options);
    }

    @Provides
    @Singleton
    PeerSigner signer() {
        return new PeerSigner(mSettings.peers().peerKeys());
    }

    @Provides
    @Singleton
    PeerLinks links(
            RouterIdentity self, Readiness readiness, ConfigFollower config, PeerSigner signer)
            throws IOException {
        return new PeerLinks(
                new PeerLinks.Sender(
                        self.id(),
                        self.incarnation(),
                        readiness::isLeaving,
                        () -> config.config().offset(),
                        signer,
                        mClock));
    }

    @Provides
    @Singleton
    PeerServer peerServer(RouterIdentity self, PeerSigner signer, PeerHandler handler)
            throws TTransportException {
        InetSocketAddress address = new InetSocketAddress(self.host(), mSettings.peers().port());
        return new PeerServer(self.id(), address, signer, handler, mClock);
    }

    @Provides
    @Singleton
    FollowerOptions followerOptions(RouterIdentity self) {
        Duration retention = mSettings.claims().window.toJavaDuration();
        return FollowerOptions.of(self.id().value(), retention);
    }
}

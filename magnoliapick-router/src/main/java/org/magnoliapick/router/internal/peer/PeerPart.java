package org.magnoliapick.router.internal.peer;

import jakarta.inject.Inject;
import jakarta.inject.Singleton;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Collectors;
import org.magnoliapick.lib.InstanceId;
import org.magnoliapick.member.FleetView;
import org.magnoliapick.member.Heartbeats;
import org.magnoliapick.member.RouterMember;
import org.magnoliapick.router.internal.RouterIdentity;
import org.magnoliapick.router.internal.member.ViewListener;
import org.magnoliapick.router.internal.supervisor.Part;
import org.magnoliapick.rpc.PeerAddress;
import org.magnoliapick.rpc.PeerLinks;
import org.magnoliapick.rpc.ShareCodec;
import org.magnoliapick.share.ShareMessage;

/** Sends to the other instances, heartbeats to those of the own failure domain among it. */
@Singleton
public final class PeerPart implements Part, ViewListener {
    private final RouterIdentity mSelf;
    private final PeerLinks mLinks;
    private volatile Map<InstanceId, RouterMember> mMembers = Map.of();

    @Inject
    PeerPart(RouterIdentity self, PeerLinks links) {
        mSelf = self;
        mLinks = links;
    }

    @Override
    public String name() {
        return "heartbeats";
    }

    @Override
    public void step() throws InterruptedException {
        List<RouterMember> neighbours = neighbours();
        neighbours.forEach(member -> mLinks.greet(addressOf(member)));
        Thread.sleep(Heartbeats.intervalMillis(neighbours.size()));
    }

    @Override
    public void viewChanged(FleetView view) {
        mMembers = view.routers().stream().collect(Collectors.toMap(RouterMember::id, m -> m));
    }

    /** Sends a share message; it may be lost. */
    public void send(InstanceId to, ShareMessage message) {
        RouterMember member = mMembers.get(to);
        if (member != null) {
            mLinks.send(addressOf(member), ShareCodec.encode(message));
        }
    }

    /** Asks an instance. */
    public CompletableFuture<byte[]> ask(
            InstanceId to, String topic, byte[] content, Duration timeout) {
        RouterMember member = mMembers.get(to);
        if (member == null) {
            return CompletableFuture.failedFuture(
                    new IllegalStateException(to + " is not a member"));
        }
        return mLinks.ask(addressOf(member), topic, content, timeout);
    }

    /** Returns the other instances. */
    public List<InstanceId> others() {
        List<InstanceId> others = new ArrayList<>(mMembers.keySet());
        others.remove(mSelf.id());
        return others;
    }

    private List<RouterMember> neighbours() {
        return mMembers.values().stream()
                .filter(member -> !member.id().equals(mSelf.id()))
                .filter(member -> member.domain().equals(mSelf.domain()))
                .toList();
    }

    private static PeerAddress addressOf(RouterMember member) {
        return new PeerAddress(member.id(), member.host(), member.peerPort());
    }
}

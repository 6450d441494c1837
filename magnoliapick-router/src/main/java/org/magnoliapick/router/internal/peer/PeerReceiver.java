package org.magnoliapick.router.internal.peer;

import jakarta.inject.Inject;
import jakarta.inject.Singleton;
import java.util.Optional;
import org.magnoliapick.lib.InstanceId;
import org.magnoliapick.router.internal.member.MemberPart;
import org.magnoliapick.router.internal.share.ShareLoop;
import org.magnoliapick.rpc.PeerHandler;
import org.magnoliapick.rpc.gen.Bundle;

/** Hands what other instances send to the parts that it is meant for. */
@Singleton
public final class PeerReceiver implements PeerHandler {
    private final MemberPart mMembers;
    private final ShareLoop mShares;
    private final Queries mQueries;

    @Inject
    PeerReceiver(MemberPart members, ShareLoop shares, Queries queries) {
        mMembers = members;
        mShares = shares;
        mQueries = queries;
    }

    @Override
    public void onBundle(Bundle bundle) {
        InstanceId from = new InstanceId(bundle.getFromInstance());
        long incarnation = bundle.getIncarnation();
        mMembers.heard(from, incarnation, bundle.isLeaving());
    }

    @Override
    public Optional<byte[]> onQuery(InstanceId from, String topic, byte[] content) {
        return mQueries.answer(topic, content);
    }
}

package org.magnoliapick.router.internal.peer;

import jakarta.inject.Inject;
import jakarta.inject.Singleton;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.Optional;
import org.magnoliapick.lib.InstanceId;
import org.magnoliapick.router.internal.member.MemberPart;
import org.magnoliapick.router.internal.share.ShareLoop;
import org.magnoliapick.rpc.DecodedShare;
import org.magnoliapick.rpc.PeerHandler;
import org.magnoliapick.rpc.ShareCodec;
import org.magnoliapick.rpc.gen.Bundle;
import org.magnoliapick.rpc.gen.ShareItem;

/** Hands what other instances send to the parts that it is meant for. */
@Singleton
public final class PeerReceiver implements PeerHandler {
    private static final Logger LOG = System.getLogger(PeerReceiver.class.getName());

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
        for (ShareItem item : bundle.getItems()) {
            take(from, incarnation, ShareCodec.decode(item));
        }
    }

    private void take(InstanceId from, long incarnation, DecodedShare decoded) {
        if (decoded instanceof DecodedShare.Whole whole) {
            mShares.receive(from, incarnation, whole.message());
        } else if (decoded instanceof DecodedShare.Malformed malformed) {
            LOG.log(Level.WARNING, "[peer] Dropped an item of {0}: {1}.", from, malformed.reason());
        }
    }

    @Override
    public Optional<byte[]> onQuery(InstanceId from, String topic, byte[] content) {
        return mQueries.answer(topic, content);
    }
}

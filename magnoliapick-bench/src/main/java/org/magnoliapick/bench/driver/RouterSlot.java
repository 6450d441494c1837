package org.magnoliapick.bench.driver;

import java.util.LinkedHashMap;
import java.util.Map;
import org.magnoliapick.lib.InstanceId;
import org.magnoliapick.lib.RequestId;
import org.magnoliapick.share.ShareNode;

/** An entry instance: its node while it is up, and the requests that it holds. */
final class RouterSlot {
    final InstanceId mId;
    final String mDomain;
    final int mIndex;
    final Map<RequestId, BenchRequest> mRequests = new LinkedHashMap<>();

    ShareNode mNode;
    boolean mUp;
    long mIncarnation;
    long mMessagesSent;
    long mMessagesReceived;
    long mBytesSent;
    long mBytesReceived;

    RouterSlot(InstanceId id, String domain, int index) {
        mId = id;
        mDomain = domain;
        mIndex = index;
    }
}

package org.magnoliapick.pool;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.magnoliapick.relay.RelayRequest;

/** What became of a request to a fleet in virtual time. */
class FakeRequest {
    final RelayRequest mRequest;
    private final int mInstanceNumber;
    private final List<Long> mSentMillis = new ArrayList<>();
    private boolean mAnswered;
    private Optional<PoolCause> mRefusal = Optional.empty();

    FakeRequest(int instanceNumber, RelayRequest request) {
        mInstanceNumber = instanceNumber;
        mRequest = request;
    }

    final void sent(long nowMillis) {
        mSentMillis.add(nowMillis);
    }

    final void answered() {
        mAnswered = true;
    }

    final void refused(PoolCause cause) {
        mRefusal = Optional.of(cause);
    }

    /** Returns the number of the instance that it was sent to. */
    int instance() {
        return mInstanceNumber;
    }

    /** Returns when the request arrived. */
    long arrivedMillis() {
        return mRequest.arrivedMillis();
    }

    /** Returns whether the prompt has a part. */
    boolean hasPart(String part) {
        return mRequest.prompt().parts().stream().anyMatch(each -> each.id().equals(part));
    }

    /** Returns when the request was sent to an engine, for each attempt. */
    List<Long> sentMillis() {
        return mSentMillis;
    }

    /** Returns whether the whole answer arrived. */
    boolean isAnswered() {
        return mAnswered;
    }

    /** Returns why the pool refused the request, if it did. */
    Optional<PoolCause> refusal() {
        return mRefusal;
    }
}

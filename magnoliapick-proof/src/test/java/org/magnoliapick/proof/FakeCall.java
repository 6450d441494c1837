package org.magnoliapick.proof;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.magnoliapick.claim.ClaimKey;
import org.magnoliapick.errors.ErrorKind;
import org.magnoliapick.lib.AttemptId;
import org.magnoliapick.lib.WorkspaceId;
import org.magnoliapick.request.RequestAction;
import org.magnoliapick.request.RequestMachine;
import org.magnoliapick.request.RequestPlan;

/** One request of a caller at one router, and all that its caller sees of it. */
final class FakeCall {
    /** The kind of request. */
    enum Kind {
        /** A model call whose answer is streamed. */
        STREAM,
        /** A call that may run once, with an idempotency key. */
        KEYED,
        /** A call that may run once, without a key. */
        UNKEYED
    }

    static final int CHUNKS = 3;

    final Kind mKind;
    final String mKey;
    final AttemptId mClaim;
    final RequestMachine mMachine;
    final List<RequestAction> mAnswers = new ArrayList<>();
    final Set<AttemptId> mRelayedAttempts = new HashSet<>();
    final List<Integer> mRelayed = new ArrayList<>();
    final List<String> mSentTo = new ArrayList<>();
    int mSlotsHeld;
    int mRuns;
    boolean mRouterDied;
    private final long mDeadlineMillis;
    private boolean mDeadlineSeen;

    FakeCall(Kind kind, String key, String name, long deadlineMillis) {
        mKind = kind;
        mKey = key;
        mClaim = new AttemptId(name);
        mDeadlineMillis = deadlineMillis;
        boolean stream = kind == Kind.STREAM;
        Optional<AttemptId> claim = kind == Kind.KEYED ? Optional.of(mClaim) : Optional.empty();
        RequestPlan plan = new RequestPlan(stream, stream, stream, claim, deadlineMillis);
        mMachine = new RequestMachine(plan, now -> true);
    }

    ClaimKey claimKey() {
        return new ClaimKey(new WorkspaceId("w"), mKey);
    }

    boolean takeDeadline(long nowMillis) {
        boolean due = nowMillis >= mDeadlineMillis && !mDeadlineSeen;
        mDeadlineSeen |= due;
        return due;
    }

    void relay(AttemptId attempt, int index) {
        mRelayedAttempts.add(attempt);
        mRelayed.add(index);
    }

    boolean gotWholeAnswer() {
        return mAnswers.stream()
                .anyMatch(
                        answer ->
                                answer instanceof RequestAction.AnswerComplete
                                        || answer instanceof RequestAction.AnswerKept);
    }

    Optional<ErrorKind> error() {
        return mAnswers.stream()
                .filter(RequestAction.AnswerError.class::isInstance)
                .map(answer -> ((RequestAction.AnswerError) answer).kind())
                .findFirst();
    }
}

package org.magnoliapick.memory;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.magnoliapick.memory.CallerMemory.Kind;

/** Replays crowds of callers against the account; a fault ends a process by lack of memory. */
final class CallerMemoryTest {
    private static final long HEAP_BYTES = 116L << 20;
    private static final int BODY_BYTES = 4 << 20;
    private static final int PIECE_BYTES = 65_536;
    private static final int HEAD_BYTES = 16_384;

    private CallerMemory mMemory = CallerMemory.forHeap(HEAP_BYTES);

    /** A caller that sends bodies and heads until it is rejected. */
    private final class Caller implements CallerMemory.Owner {
        private final CallerMemory.Account mAccount = mMemory.open(this);
        private boolean mRejected;

        @Override
        public void rejectForMemory() {
            mRejected = true;
        }

        /** Sends bytes of a body; returns whether they were taken. */
        private boolean send(long bytes) {
            return !mRejected && mAccount.grow(Kind.BODY, bytes);
        }
    }

    private List<Caller> callers(int count) {
        List<Caller> callers = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            callers.add(new Caller());
        }
        return callers;
    }

    private static long keptCount(List<Caller> callers) {
        return callers.stream().filter(each -> !each.mRejected).count();
    }

    /** Sends bodies piece by piece in turn, but for their last piece. */
    private void sendBodies(List<Caller> callers) {
        for (int sent = 0; sent < BODY_BYTES - PIECE_BYTES; sent += PIECE_BYTES) {
            callers.forEach(each -> each.send(PIECE_BYTES));
            assertThat(mMemory.usedBytes()).isLessThanOrEqualTo(mMemory.maxBytes());
        }
    }

    private void assertSmallRequestIsAdmitted() {
        Caller small = new Caller();
        assertThat(small.mAccount.grow(Kind.HEAD, CallerMemory.headBytes(400, 10))).isTrue();
        assertThat(small.send(1_024)).isTrue();
        small.mAccount.close();
    }

    @Test
    void boundLeavesRoomForResponsesAndTheRest() {
        for (long mebibytes : new long[] {46, 116}) {
            long heapBytes = mebibytes << 20;
            long maxBytes = CallerMemory.forHeap(heapBytes).maxBytes();
            assertThat(maxBytes).isGreaterThan(BODY_BYTES * 2L);
            assertThat(maxBytes + heapBytes / 4 + (24L << 20)).isLessThanOrEqualTo(heapBytes);
        }
    }

    /** The machines of deployments have 2,212 to 10,250 descriptors. */
    @Test
    void connectionsLeaveDescriptorsForUpstreamsAndMemoryForRequests() {
        assertThat(mMemory.maxConnections(2_212)).isEqualTo(1_006);
        assertThat(mMemory.maxConnections(10_250)).isEqualTo(5_025);
        assertThat(mMemory.maxConnections(100)).isEqualTo(1);
        long unbounded = mMemory.maxConnections(0);
        assertThat(unbounded * CallerMemory.CONNECTION_BYTES + 2 * BODY_BYTES)
                .isLessThan(mMemory.maxBytes());
    }

    @Test
    void unfinishedBodiesStayWithinBound() {
        List<Caller> callers = callers(40);
        sendBodies(callers);
        assertThat(keptCount(callers)).isBetween(10L, 20L);
        assertSmallRequestIsAdmitted();
    }

    @Test
    void burstThatFitsIsNotRejected() {
        List<Caller> callers = callers(12);
        sendBodies(callers);
        assertThat(keptCount(callers)).isEqualTo(12);
    }

    @Test
    void singleLargestRequestIsAdmittedBesideUnfinishedSmallOnes() {
        for (Caller each : callers(2_000)) {
            each.mAccount.resize(Kind.UNDECODED, 2_048);
        }
        Caller largest = new Caller();
        assertThat(largest.mAccount.grow(Kind.HEAD, CallerMemory.headBytes(HEAD_BYTES, 4_000)))
                .isTrue();
        for (int sent = 0; sent < BODY_BYTES; sent += PIECE_BYTES) {
            assertThat(largest.send(PIECE_BYTES)).isTrue();
        }
    }

    @Test
    void completeRequestsAreKeptAndLargeOnesLeaveRoomForSmallOnes() {
        List<Caller> callers = callers(40);
        for (Caller each : callers) {
            if (each.send(BODY_BYTES)) {
                each.mAccount.requestArrived();
            }
        }
        long kept = keptCount(callers);
        assertThat(kept).isBetween(10L, 20L);
        assertSmallRequestIsAdmitted();
        assertThat(keptCount(callers)).isEqualTo(kept);
    }

    @Test
    void headsOfShortLinesStayWithinBound() {
        List<Caller> callers = callers(600);
        long headBytes = CallerMemory.headBytes(HEAD_BYTES, 4_000);
        assertThat(headBytes).isGreaterThan(600_000);
        for (Caller each : callers) {
            if (each.mAccount.grow(Kind.HEAD, headBytes)) {
                each.mAccount.requestArrived();
            }
            assertThat(mMemory.usedBytes()).isLessThanOrEqualTo(mMemory.maxBytes());
        }
        assertThat(keptCount(callers)).isBetween(40L, 100L);
        assertSmallRequestIsAdmitted();
    }

    @Test
    void largestIsRejectedFirstAndTheNewestOfEqualOnes() {
        mMemory = new CallerMemory(1 << 20);
        Caller old = new Caller();
        Caller large = new Caller();
        Caller young = new Caller();
        old.send(200_000);
        large.send(300_000);
        young.send(200_000);
        Caller next = new Caller();
        assertThat(next.send(180_000)).isTrue();
        assertThat(large.mRejected).isFalse();
        assertThat(next.send(5_000)).isTrue();
        assertThat(large.mRejected).isTrue();
        assertThat(new Caller().send(190_000)).isTrue();
        assertThat(new Caller().send(190_000)).isTrue();
        assertThat(young.mRejected).isTrue();
        assertThat(old.mRejected).isFalse();
        assertThat(next.mRejected).isFalse();
    }

    @Test
    void pipelinedBytesAreRejectedAndTheRequestBeforeThemIsKept() {
        mMemory = new CallerMemory(1 << 20);
        Caller pipelining = new Caller();
        pipelining.send(500_000);
        pipelining.mAccount.requestArrived();
        pipelining.mAccount.resize(Kind.UNDECODED, 30_000);
        assertThat(new Caller().send(440_000)).isFalse();
        Caller small = new Caller();
        small.mAccount.resize(Kind.UNDECODED, 20_000);
        assertThat(pipelining.mAccount.bytes(Kind.BODY)).isEqualTo(500_000);
    }

    @Test
    void unreadResponsesAreEndedOnlyWhenNothingArrives() {
        mMemory = new CallerMemory(1 << 20);
        List<Caller> callers = callers(20);
        callers.forEach(each -> each.mAccount.resize(Kind.RESPONSE, 64_000));
        assertThat(keptCount(callers)).isLessThan(20);
        assertThat(mMemory.usedBytes()).isLessThanOrEqualTo(mMemory.maxBytes());
    }

    @Test
    void closedAccountsHoldNothing() {
        List<Caller> callers = callers(40);
        sendBodies(callers);
        callers.forEach(each -> each.mAccount.close());
        assertThat(mMemory.usedBytes()).isZero();
    }

    @Test
    void transferIsOverdueOnlyAtTheSecondCheckWithoutProgress() {
        ProgressWait wait = new ProgressWait();
        assertThat(wait.isOverdue(5, 100, 0)).isFalse();
        assertThat(wait.isOverdue(5, 100, 101)).isFalse();
        assertThat(wait.isOverdue(6, 100, 102)).isFalse();
        assertThat(wait.isOverdue(6, 100, 203)).isFalse();
        assertThat(wait.isOverdue(6, 100, 204)).isTrue();
    }
}

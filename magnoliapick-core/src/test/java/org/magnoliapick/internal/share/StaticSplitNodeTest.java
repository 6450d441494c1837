package org.magnoliapick.internal.share;

import static org.assertj.core.api.Assertions.assertThat;
import static org.magnoliapick.internal.share.ShareFixture.LOCAL_DOMAIN;
import static org.magnoliapick.internal.share.ShareFixture.config;
import static org.magnoliapick.internal.share.ShareFixture.refusals;
import static org.magnoliapick.internal.share.ShareFixture.request;
import static org.magnoliapick.internal.share.ShareFixture.router;
import static org.magnoliapick.internal.share.ShareFixture.starts;
import static org.magnoliapick.internal.share.ShareFixture.upstream;
import static org.magnoliapick.internal.share.ShareFixture.view;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.magnoliapick.errors.ErrorKind;
import org.magnoliapick.lib.FailureDomain;
import org.magnoliapick.lib.RequestClass;
import org.magnoliapick.lib.RequestId;
import org.magnoliapick.lib.UpstreamId;
import org.magnoliapick.member.MemberState;
import org.magnoliapick.member.UpstreamMember;
import org.magnoliapick.share.AttemptOutcome;
import org.magnoliapick.share.ShareAction;
import org.magnoliapick.share.ShareNode;
import org.magnoliapick.share.SharePolicy;

final class StaticSplitNodeTest {
    private final ShareNode mInstance =
            SharePolicy.STATIC_SPLIT.create(ShareFixture.settings("r1"));

    private void setUp(int slots, UpstreamMember... upstreams) {
        mInstance.configChanged(config(slots, Map.of("a", 1.0, "b", 1.0)), 0);
        mInstance.viewChanged(
                view(List.of(router("r1", LOCAL_DOMAIN), router("r2", LOCAL_DOMAIN)), upstreams),
                0);
    }

    private void fill(int requests, String workspace) {
        for (int i = 0; i < requests; i++) {
            mInstance.submit(request(workspace + i, workspace), i);
        }
    }

    @Test
    void startsImmediatelyUpToItsShareOfTheSlots() {
        setUp(4, upstream("u1", LOCAL_DOMAIN, MemberState.LIVE));
        assertThat(starts(mInstance.submit(request("1", "a"), 0))).hasSize(1);
        assertThat(starts(mInstance.submit(request("2", "a"), 0))).hasSize(1);
        assertThat(starts(mInstance.submit(request("3", "a"), 0))).isEmpty();
    }

    @Test
    void givesTheFreeSlotToTheLeastServedWorkspace() {
        setUp(2, upstream("u1", LOCAL_DOMAIN, MemberState.LIVE));
        fill(5, "a");
        mInstance.submit(request("b0", "b"), 10);
        List<ShareAction> actions =
                mInstance.finish(new RequestId("a0"), AttemptOutcome.WHOLE, 500, 100);
        assertThat(starts(actions))
                .containsExactly(new ShareAction.Start(new RequestId("b0"), new UpstreamId("u1")));
    }

    @Test
    void prefersUrgentRequestsAndAgesBulkRequests() {
        setUp(2, upstream("u1", LOCAL_DOMAIN, MemberState.LIVE));
        mInstance.submit(request("running", "a"), 0);
        mInstance.submit(request("bulk", "a", RequestClass.BULK, 1_000_000), 0);
        mInstance.submit(request("late", "a", RequestClass.URGENT, 1_000_000), 60_001);
        mInstance.submit(request("early", "a", RequestClass.URGENT, 1_000_000), 59_000);
        assertThat(startedAfter("running", 61_000)).isEqualTo("early");
        assertThat(startedAfter("early", 62_000)).isEqualTo("bulk");
        assertThat(startedAfter("bulk", 63_000)).isEqualTo("late");
    }

    private String startedAfter(String finished, long nowMillis) {
        List<ShareAction> actions =
                mInstance.finish(new RequestId(finished), AttemptOutcome.WHOLE, 10, nowMillis);
        return starts(actions).get(0).request().value();
    }

    @Test
    void refusesAQueuedRequestWhenItsDeadlinePasses() {
        setUp(2, upstream("u1", LOCAL_DOMAIN, MemberState.LIVE));
        mInstance.submit(request("1", "a"), 0);
        mInstance.submit(request("2", "a", RequestClass.STANDARD, 500), 0);
        assertThat(refusals(mInstance.tick(499))).isEmpty();
        assertThat(refusals(mInstance.tick(500)))
                .extracting(ShareAction.Refuse::kind)
                .containsExactly(ErrorKind.DEADLINE_BEFORE_START);
    }

    @Test
    void limitsTheQueueOfEachWorkspaceSeparately() {
        setUp(2, upstream("u1", LOCAL_DOMAIN, MemberState.LIVE));
        fill(51, "a");
        assertThat(refusals(mInstance.submit(request("more", "a"), 60)))
                .extracting(ShareAction.Refuse::kind)
                .containsExactly(ErrorKind.WORKSPACE_QUEUE_FULL);
        assertThat(refusals(mInstance.submit(request("b0", "b"), 60))).isEmpty();
    }

    @Test
    void refusesARequestWithoutAnAvailableUpstream() {
        setUp(2, upstream("u1", LOCAL_DOMAIN, MemberState.LEAVING));
        assertThat(refusals(mInstance.submit(request("1", "a"), 0)))
                .extracting(ShareAction.Refuse::kind)
                .containsExactly(ErrorKind.NO_UPSTREAM);
    }

    @Test
    void startsNoRequestAtALeavingUpstream() {
        setUp(
                8,
                upstream("u1", LOCAL_DOMAIN, MemberState.LIVE),
                upstream("u2", LOCAL_DOMAIN, MemberState.LEAVING));
        for (int i = 0; i < 4; i++) {
            assertThat(starts(mInstance.submit(request("a" + i, "a"), 0)))
                    .extracting(ShareAction.Start::upstream)
                    .containsExactly(new UpstreamId("u1"));
        }
    }

    @Test
    void usesAnotherDomainOnlyWithoutALocalUpstream() {
        FailureDomain far = new FailureDomain("seeb");
        setUp(
                2,
                upstream("u1", LOCAL_DOMAIN, MemberState.LIVE),
                upstream("u2", far, MemberState.LIVE));
        mInstance.submit(request("1", "a"), 0);
        assertThat(starts(mInstance.submit(request("2", "a"), 0))).isEmpty();
        List<ShareAction> actions =
                mInstance.viewChanged(
                        view(
                                List.of(router("r1", LOCAL_DOMAIN), router("r2", LOCAL_DOMAIN)),
                                upstream("u1", LOCAL_DOMAIN, MemberState.LEAVING),
                                upstream("u2", far, MemberState.LIVE)),
                        10);
        assertThat(starts(actions))
                .extracting(ShareAction.Start::upstream)
                .containsExactly(new UpstreamId("u2"));
    }
}

package org.magnoliapick.router;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.http.HttpResponse;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Operating two real routers over loopback sockets. */
final class OperateTest {
    private static final String WEIGHT = "/admin/v1/settings/teams/kyushu/weight";
    private static final String REASON = "?reason=test";

    private TestFleet mFleet;
    private String mFirst;
    private String mSecond;

    @BeforeEach
    void startFleet() throws Exception {
        mFleet = new TestFleet();
        mFirst = mFleet.startRouter("router-1");
        mSecond = mFleet.startRouter("router-2");
    }

    @AfterEach
    void stopFleet() {
        mFleet.close();
    }

    @Test
    void aChangeMadeAtOneInstanceIsReadAtAnother() throws Exception {
        HttpResponse<String> change = mFleet.operate("PUT", mFirst + WEIGHT + REASON, "3");
        assertThat(change.statusCode()).isEqualTo(200);
        assertThat(awaitBody(mSecond + WEIGHT, "3")).contains("3");
    }

    @Test
    void aSenselessShareIsRefusedWithItsPath() throws Exception {
        HttpResponse<String> change = mFleet.operate("PUT", mFirst + WEIGHT + REASON, "-1");
        assertThat(change.statusCode()).isEqualTo(400);
        assertThat(change.body()).contains("teams/kyushu/weight");
    }

    @Test
    void aWorkspaceKeyDoesNotAdminister() throws Exception {
        assertThat(mFleet.get(mFirst + "/admin/v1/fleet/status").statusCode()).isEqualTo(401);
    }

    @Test
    void aRequestIsExplainedThroughAnotherInstance() throws Exception {
        HttpResponse<String> answer = mFleet.get(mFirst + "/services/draws/status");
        String request = answer.headers().firstValue("Magnoliapick-Request").orElseThrow();
        String url = mSecond + "/admin/v1/explain/requests/" + request;
        HttpResponse<String> story = mFleet.operate("GET", url, "");
        assertThat(story.statusCode()).isEqualTo(200);
        assertThat(story.body()).contains("router-1").contains("draws-1").contains("whole answer");
    }

    @Test
    void aDrainedUpstreamGetsNothingNew() throws Exception {
        String drain = mFirst + "/admin/v1/fleet/upstreams/draws-1/drain?reason=test";
        assertThat(mFleet.operate("PUT", drain, "").statusCode()).isEqualTo(200);
        assertThat(awaitStatus(mSecond + "/services/draws/status", 503)).isEqualTo(503);
        int ran = mFleet.mService.total();
        assertThat(mFleet.get(mSecond + "/services/draws/status").statusCode()).isEqualTo(503);
        assertThat(mFleet.mService.total()).isEqualTo(ran);
    }

    @Test
    void theMetricsCountWholeAnswers() throws Exception {
        mFleet.get(mFirst + "/services/draws/status");
        String metrics = mFleet.get(mFirst + "/metrics").body();
        assertThat(metrics)
                .containsPattern("magnoliapick_requests_total\\{cause=\"completed\"\\} [1-9]");
        assertThat(metrics).contains("magnoliapick_control_sent_bytes_total");
    }

    private int awaitStatus(String url, int wanted) throws Exception {
        int status = 0;
        for (int i = 0; i < 10_000 && status != wanted; i++) {
            status = mFleet.get(url).statusCode();
        }
        return status;
    }

    /** Asks until the answer holds the text; the request's own time paces the loop. */
    private String awaitBody(String url, String text) throws Exception {
        String body = "";
        for (int i = 0; i < 1_000 && !body.contains(text); i++) {
            body = mFleet.operate("GET", url, "").body();
        }
        return body;
    }
}

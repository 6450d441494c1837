package org.magnoliapick.ports.internal;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.magnoliapick.lib.AttemptId;
import org.magnoliapick.ports.AttemptFailure;
import org.magnoliapick.ports.Endpoint;
import org.magnoliapick.ports.Platform;
import org.magnoliapick.ports.PlatformSettings;
import org.magnoliapick.ports.ServiceCall;
import org.magnoliapick.ports.ServiceResult;
import org.magnoliapick.standin.Fault;
import org.magnoliapick.standin.ServiceOptions;
import org.magnoliapick.standin.ServiceStandin;

final class HttpPlainServiceTest {
    private static final Endpoint NOWHERE = new Endpoint("127.0.0.1", 1);
    private static final long AMPLE_MILLIS = 20_000;
    private static final long SHORT_MILLIS = 150;

    private final ServiceStandin mService =
            ServiceStandin.start(new ServiceOptions().setLatencyMillis(0).setLoadLagMillis(0));
    private final Endpoint mEndpoint = new Endpoint("127.0.0.1", mService.port());
    private final Platform mPlatform =
            Platform.http(
                    PlatformSettings.of(NOWHERE, NOWHERE, NOWHERE), System::currentTimeMillis);

    @AfterEach
    void closeAll() {
        mPlatform.close();
        mService.close();
    }

    private ServiceResult call(Endpoint service, String method, String path, long withinMillis) {
        ServiceCall call =
                new ServiceCall(
                        new AttemptId("attempt-1"),
                        method,
                        path,
                        Map.of(
                                "Idempotency-Key",
                                List.of("key-1"),
                                "Host",
                                List.of("elsewhere"),
                                "Content-Length",
                                List.of("3")),
                        "{\"من\":\"雪\",\"mark\":\"nonce=b7\"}".getBytes(StandardCharsets.UTF_8),
                        System.currentTimeMillis() + withinMillis);
        return mPlatform.plainService().call(service, call);
    }

    @Test
    void passesMethodPathHeadersAndBodyThrough() {
        ServiceResult result = call(mEndpoint, "PUT", "/pairings/%E9%9B%AA?x=1", AMPLE_MILLIS);

        assertThat(result).isInstanceOf(ServiceResult.Whole.class);
        ServiceResult.Whole whole = (ServiceResult.Whole) result;
        String body = new String(whole.body(), StandardCharsets.UTF_8);
        assertThat(whole.status()).isEqualTo(200);
        assertThat(body).contains("雪割 花子").contains("/pairings/雪").contains("b7");
        assertThat(whole.headers()).doesNotContainKeys("Content-length", "Magnoliapick-attempt");
        assertThat(mService.ranByKey()).containsEntry("key-1", 1);
        assertThat(mService.ranByNonce()).containsEntry("b7", 1);
    }

    @ParameterizedTest
    @CsvSource({
        "CUT_BEFORE_HEAD, LOST_BEFORE_HEAD, 0",
        "LOST_ANSWER, LOST_BEFORE_HEAD, 1",
        "HALF_ANSWER, CUT, 1",
        "CROSSED_ATTEMPT, CROSSED, 1",
        "MISSING_ATTEMPT, CROSSED, 1",
        "OVERLONG, MALFORMED, 1",
        "REFUSE, REFUSED, 0",
    })
    void tellsEachFaultTruthfullyAndCallsOnce(Fault fault, AttemptFailure expected, int ran) {
        mService.faults().set(fault, 1);

        ServiceResult result = call(mEndpoint, "POST", "/pairings", AMPLE_MILLIS);

        assertThat(((ServiceResult.Broken) result).failure()).isEqualTo(expected);
        assertThat(mService.total()).isEqualTo(ran);
    }

    @Test
    void passesTheServicesOwnFailureOn() {
        mService.faults().set(Fault.FAIL, 1);

        ServiceResult result = call(mEndpoint, "POST", "/pairings", AMPLE_MILLIS);

        assertThat(((ServiceResult.Whole) result).status()).isEqualTo(500);
    }

    @Test
    void givesUpOnAStalledServiceAtTheDeadline() {
        mService.faults().set(Fault.STALL, 1);

        ServiceResult result = call(mEndpoint, "POST", "/pairings", SHORT_MILLIS);

        assertThat(((ServiceResult.Broken) result).failure()).isEqualTo(AttemptFailure.TIMEOUT);
    }

    @Test
    void tellsARefusedConnectionAndAnUnreadablePathAsNotSent() {
        ServiceResult refused = call(NOWHERE, "POST", "/pairings", AMPLE_MILLIS);
        ServiceResult unreadable = call(mEndpoint, "POST", "/a b", AMPLE_MILLIS);

        assertThat(((ServiceResult.Broken) refused).failure()).isEqualTo(AttemptFailure.NOT_SENT);
        assertThat(((ServiceResult.Broken) unreadable).failure())
                .isEqualTo(AttemptFailure.NOT_SENT);
        assertThat(mService.total()).isZero();
    }

    @Test
    void reportsLoad() {
        assertThat(
                        mPlatform
                                .plainService()
                                .load(mEndpoint, Duration.ofSeconds(10))
                                .orElseThrow()
                                .maxRunning())
                .isEqualTo(8);
    }
}

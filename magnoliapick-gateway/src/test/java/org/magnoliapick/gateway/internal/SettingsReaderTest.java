package org.magnoliapick.gateway.internal;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.magnoliapick.gateway.GatewaySettings;
import org.magnoliapick.gateway.SettingsException;

final class SettingsReaderTest {
    static final String VALID =
            """
            instance: "i-1"
            domain: "a"
            callers: {address: "10.0.0.1:80"}
            readiness: {address: "10.0.0.1:81", path: /ready}
            control: {address: "10.0.0.1:82"}
            peers: {address: "10.0.0.1:83", seeds: ["10.0.0.2:82"]}
            store: {address: "10.9.0.1:90"}
            retries: {ratio: 0.2, slack: 54, windowSeconds: 10}
            sharing: {windowSeconds: 4}
            stop: {graceSeconds: 8}
            """;

    @TempDir private Path mDirectory;

    private GatewaySettings read(String text) throws IOException, SettingsException {
        Path file = mDirectory.resolve("s.yaml");
        Files.writeString(file, text);
        return SettingsReader.read(file);
    }

    @Test
    void readsMachineAndBounds() throws Exception {
        GatewaySettings settings =
                read(
                        VALID
                                + "machine: {processorShare: 0.75, processorSpeed: 2,"
                                + " maxDescriptors: 2212}\n"
                                + "bounds: {leavingMillis: 4000, configMillis: 3000,"
                                + " evacuationMillis: 6000}\n");
        assertThat(settings.milliCores()).isEqualTo(1_500);
        assertThat(settings.maxDescriptors()).isEqualTo(2_212);
        assertThat(settings.bounds()).isEqualTo(new GatewaySettings.Bounds(4_000, 3_000, 6_000));
    }

    /** Guards against an evacuation that is late because configurations may take longer. */
    @Test
    void leavesTimeToPassOnAnEvacuation() {
        assertThat(new GatewaySettings.Bounds(1, 2_000, 5_000).configTopicMillis())
                .isEqualTo(2_000);
        assertThat(new GatewaySettings.Bounds(1, 9_000, 5_000).configTopicMillis())
                .isEqualTo(4_000);
        assertThat(new GatewaySettings.Bounds(1, 9_000, 1_000).configTopicMillis()).isEqualTo(500);
    }

    @Test
    void usesDefaultsWithoutMachineAndBounds() throws Exception {
        GatewaySettings settings = read(VALID + "machine: {processorShare: , processorSpeed: }\n");
        assertThat(settings.milliCores()).isEqualTo(1_000);
        assertThat(settings.bounds()).isEqualTo(new GatewaySettings.Bounds(2_000, 2_000, 5_000));
    }

    @Test
    void requestsAreRejectedEarlyWhereTheProcessorShareIsGivenUnlessTurnedOff() throws Exception {
        assertThat(read(VALID).admission()).isFalse();
        assertThat(read(VALID + "machine: {processorShare: }\n").admission()).isFalse();
        assertThat(read(VALID + "machine: {processorShare: 0.3}\n").admission()).isTrue();
        String off = "machine: {processorShare: 0.3}\noverload: {admission: false}\n";
        assertThat(read(VALID + off).admission()).isFalse();
        assertThat(read(VALID + "overload: {admission: true}\n").admission()).isTrue();
        assertThatThrownBy(() -> read(VALID + "overload: {admission: 2}\n"))
                .hasMessageContaining("overload.admission: expected true or false");
    }

    /** Guards against prompt classes on deployments that do not ask for them. */
    @Test
    void usesPromptClassesOnlyIfAskedFor() throws Exception {
        for (String off : List.of("", "placement: {policies: [a, ''], promptClasses: }")) {
            assertThat(read(VALID + off).promptClasses()).isFalse();
        }
        for (String on : List.of("{promptClasses: true}", "{policies: [\"a\", \"pressure\",]}")) {
            assertThat(read(VALID + "placement: " + on).promptClasses()).isTrue();
        }
        assertThatThrownBy(() -> read(VALID + "placement: {policies: pressure}"))
                .hasMessageContaining("placement.policies: expected a list");
        assertThatThrownBy(() -> read(VALID + "placement: {promptClasses: 1}"))
                .hasMessageContaining("placement.promptClasses: expected true or false");
    }

    @Test
    void readsAllKeys() throws Exception {
        GatewaySettings settings = read(VALID);
        assertThat(settings.callerAddress().port()).isEqualTo(80);
        assertThat(settings.stopGraceMillis()).isEqualTo(8_000);
        assertThat(settings.seeds()).hasSize(1);
    }

    @Test
    void namesTheInvalidKeyInTheMessage() {
        assertThatThrownBy(() -> read(VALID.replace("domain: \"a\"\n", "")))
                .hasMessageContaining("domain is missing");
        assertThatThrownBy(() -> read(VALID + "more: 1\n"))
                .hasMessageContaining("unknown key more");
        assertThatThrownBy(() -> read(VALID.replace("10.0.0.1:80", "10.0.0.1")))
                .hasMessageContaining("callers.address: expected IP:PORT");
        assertThatThrownBy(() -> read(VALID.replace("0.2", "-1")))
                .hasMessageContaining("retries.ratio: expected a number");
        // Guards against a retry budget without a bound.
        for (String unlimited : List.of(".inf", ".nan", "null")) {
            assertThatThrownBy(() -> read(VALID.replace("0.2", unlimited)))
                    .hasMessageContaining("retries.ratio");
            assertThatThrownBy(() -> read(VALID.replace("54", unlimited)))
                    .hasMessageContaining("retries.slack");
        }
        for (String window : List.of("0", ".inf", "1e-9")) {
            assertThatThrownBy(() -> read(VALID.replace("10}", window + "}")))
                    .hasMessageContaining("retries.windowSeconds: expected");
            assertThatThrownBy(() -> read(VALID.replace("Seconds: 4", "Seconds: " + window)))
                    .hasMessageContaining("sharing.windowSeconds: expected");
        }
        assertThatThrownBy(() -> read("{[")).hasMessageContaining("is not YAML");
    }
}

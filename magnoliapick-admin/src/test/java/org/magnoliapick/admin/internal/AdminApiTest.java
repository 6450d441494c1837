package org.magnoliapick.admin.internal;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import io.dropwizard.testing.junit5.DropwizardExtensionsSupport;
import io.dropwizard.testing.junit5.ResourceExtension;
import jakarta.ws.rs.client.Entity;
import jakarta.ws.rs.client.Invocation;
import jakarta.ws.rs.client.WebTarget;
import jakarta.ws.rs.core.MediaType;
import jakarta.ws.rs.core.Response;
import java.util.Map;
import java.util.Optional;
import org.glassfish.jersey.client.HttpUrlConnectorProvider;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.ExtendWith;
import org.magnoliapick.admin.AdminFixture;
import org.magnoliapick.config.KeyHash;
import org.magnoliapick.lib.RequestId;
import org.magnoliapick.lib.WorkspaceId;
import org.magnoliapick.record.Cause;
import org.magnoliapick.record.DecisionRecord;
import org.magnoliapick.record.NumberNames;
import org.magnoliapick.record.Step;

@ExtendWith(DropwizardExtensionsSupport.class)
final class AdminApiTest {
    private static final String ROOT = AdminFixture.BOOTSTRAP_KEY;
    private static final String CAFE = "teams/muscat/workspaces/cafe";

    private final AdminFixture mFixture = new AdminFixture();
    private final ResourceExtension mApi = extension(mFixture);

    @BeforeEach
    void startFromTheLog() {
        mFixture.follower().step();
    }

    @Test
    void callWithoutKnownKeyIsRefused() {
        assertThat(call("nobody", "settings", Map.of()).get().getStatus()).isEqualTo(401);
        Response response = mApi.target("/admin/v1/settings").request().get();
        assertThat(response.getStatus()).isEqualTo(401);
        assertThat(response.readEntity(JsonNode.class).path("error").asText())
                .isEqualTo("unauthenticated");
    }

    @Test
    void valueIsSetReadAndRemoved() {
        assertThat(put(CAFE + "/weight", "2").getStatus()).isEqualTo(200);
        Response read = get("settings/" + CAFE);
        assertThat(read.getEntityTag().getValue()).isEqualTo("0");
        assertThat(read.getHeaderString("Magnoliapick-Config-Offset")).isEqualTo("0");
        JsonNode settings = read.readEntity(JsonNode.class).path("settings");
        assertThat(settings.path(CAFE + "/weight").path("value").asDouble()).isEqualTo(2);
        assertThat(call(ROOT, "settings/" + CAFE, Map.of()).delete().getStatus()).isEqualTo(200);
        assertThat(get("settings/" + CAFE).getStatus()).isEqualTo(404);
    }

    @Test
    void staleVersionIsToldTheCurrentOne() {
        put(CAFE + "/weight", "2");
        put(CAFE + "/weight", "3");
        Response response =
                call(ROOT, "settings/" + CAFE + "/weight", Map.of())
                        .header("If-Match", "\"0\"")
                        .put(Entity.json("4"));
        assertThat(response.getStatus()).isEqualTo(412);
        JsonNode problem = response.readEntity(JsonNode.class);
        assertThat(problem.path("currentVersion").asLong()).isEqualTo(1);
        assertThat(problem.path("path").asText()).isEqualTo(CAFE + "/weight");
    }

    @Test
    void faultyValueNamesPathAndWhatIsAllowed() {
        Response response = put(CAFE + "/weight", "0");
        assertThat(response.getStatus()).isEqualTo(400);
        assertThat(response.getMediaType().toString()).isEqualTo("application/problem+json");
        assertThat(response.readEntity(JsonNode.class).path("detail").asText())
                .isEqualTo(CAFE + "/weight must be a number above 0 and at most 1000000, not 0");
        assertThat(put(CAFE + "/weight", "{").getStatus()).isEqualTo(400);
        assertThat(mFixture.follower().config().offset()).isEqualTo(-1);
    }

    @Test
    void subtreeBecomesWhatTheBodySaysInOneEntry() {
        put(CAFE, "{\"weight\":2,\"max-queued\":9}");
        put(CAFE, "{\"weight\":3}");
        JsonNode settings = get("settings/" + CAFE).readEntity(JsonNode.class).path("settings");
        assertThat(settings.size()).isEqualTo(1);
        Response patched =
                call(ROOT, "settings/" + CAFE, Map.of())
                        .method("PATCH", Entity.json("{\"weight\":null,\"max-queued\":5}"));
        assertThat(patched.getStatus()).isEqualTo(200);
        assertThat(mFixture.follower().config().offset()).isEqualTo(2);
        assertThat(
                        mFixture.follower()
                                .config()
                                .workspace(new WorkspaceId("cafe"))
                                .orElseThrow()
                                .maxQueued())
                .isEqualTo(5);
    }

    @Test
    void dryRunChangesNothing() {
        Response response =
                call(ROOT, "settings/" + CAFE + "/weight", Map.of("dryRun", "true"))
                        .put(Entity.json("2"));
        assertThat(response.getStatus()).isEqualTo(200);
        assertThat(response.readEntity(JsonNode.class).path("accepted").asBoolean()).isFalse();
        assertThat(mFixture.follower().config().offset()).isEqualTo(-1);
    }

    @Test
    void unreachableLogIsToldApartFromUnknownOutcome() {
        mFixture.log().setOut(true);
        Response out = put(CAFE + "/weight", "2");
        assertThat(out.getStatus()).isEqualTo(503);
        assertThat(out.readEntity(JsonNode.class).path("error").asText())
                .isEqualTo("log-unavailable");
        Response asked = get("changes/never-seen");
        JsonNode problem = asked.readEntity(JsonNode.class);
        assertThat(problem.path("error").asText()).isEqualTo("change-unknown");
        assertThat(problem.path("outcome").asText()).isEqualTo("outcome-unknown");
        assertThat(problem.path("token").asText()).isEqualTo("never-seen");
    }

    @Test
    void repeatedTokenIsAppliedOnce() {
        Map<String, Object> params = Map.of("token", "t-1");
        String path = "settings/" + CAFE + "/weight";
        call(ROOT, path, params).put(Entity.json("2"));
        Response again = call(ROOT, path, params).put(Entity.json("2"));
        assertThat(again.readEntity(JsonNode.class).path("offset").asLong()).isEqualTo(0);
        assertThat(get("changes/t-1").readEntity(JsonNode.class).path("accepted").asBoolean())
                .isTrue();
    }

    @Test
    void issuedKeyIsStoredAsHashOnly() {
        Response early = post("teams/muscat/workspaces/cafe/keys", "");
        assertThat(early.getStatus()).isEqualTo(404);
        assertThat(post("teams/muscat/workspaces", "{\"name\":\"cafe\"}").getStatus())
                .isEqualTo(201);
        JsonNode issued =
                post("teams/muscat/workspaces/cafe/keys", "{\"id\":\"k1\"}")
                        .readEntity(JsonNode.class);
        String key = issued.path("key").asText();
        assertThat(
                        mFixture.follower()
                                .config()
                                .workspace(new WorkspaceId("cafe"))
                                .orElseThrow()
                                .keyHashes())
                .containsExactly(KeyHash.of(key));
        assertThat(get("settings").readEntity(String.class)).doesNotContain(key);
        String keyPath = "teams/muscat/workspaces/cafe/keys/k1";
        assertThat(call(ROOT, keyPath, Map.of()).delete().getStatus()).isEqualTo(200);
        assertThat(
                        mFixture.follower()
                                .config()
                                .workspace(new WorkspaceId("cafe"))
                                .orElseThrow()
                                .keyHashes())
                .isEmpty();
    }

    @Test
    void keyIsNotShownForTokenThatStoredAnother() {
        post("teams/muscat/workspaces", "{\"name\":\"cafe\"}");
        Map<String, Object> params = Map.of("token", "t-1");
        String path = "teams/muscat/workspaces/cafe/keys";
        assertThat(call(ROOT, path, params).post(Entity.json("")).getStatus()).isEqualTo(201);
        Response again = call(ROOT, path, params).post(Entity.json(""));
        assertThat(again.getStatus()).isEqualTo(409);
        assertThat(again.readEntity(String.class)).doesNotContain("mp_");
    }

    @Test
    void operatorOfTeamIsHeldToItsSubtreeAndRole() {
        put(CAFE + "/weight", "1");
        JsonNode issued =
                post("operators", "{\"name\":\"noor\",\"team\":\"muscat\",\"role\":\"change\"}")
                        .readEntity(JsonNode.class);
        String noor = issued.path("key").asText();
        assertThat(setAs(noor, CAFE + "/weight", "2")).isEqualTo(200);
        assertThat(setAs(noor, "teams/seeb/weight", "2")).isEqualTo(403);
        assertThat(setAs(noor, "fleet/targets/m/max-concurrent", "2")).isEqualTo(403);
        assertThat(call(noor, "settings/teams/seeb", Map.of()).get().getStatus()).isEqualTo(403);
        assertThat(call(noor, "settings", Map.of()).get().getStatus()).isEqualTo(403);
        String keyPath = CAFE + "/keys/k/sha256";
        assertThat(setAs(noor, keyPath, '"' + KeyHash.of("x") + '"')).isEqualTo(403);
        assertThat(setAs(noor, "teams/muscat/operators/noor/role", "\"administer\""))
                .isEqualTo(403);
        assertThat(call(noor, "settings/teams/muscat", Map.of()).delete().getStatus())
                .isEqualTo(403);
        assertThat(call(noor, "history", Map.of("path", CAFE)).get().getStatus()).isEqualTo(200);
    }

    @Test
    void bootstrapKeyEndsWithTheFirstAdministrator() {
        post("operators", "{\"name\":\"root\",\"role\":\"administer\"}");
        assertThat(get("settings").getStatus()).isEqualTo(401);
    }

    @Test
    void historyTellsAuthorAndReasonAndRejectionsTheirFault() {
        call(ROOT, "settings/" + CAFE + "/weight", Map.of("reason", "wedding season"))
                .put(Entity.json("2"));
        mFixture.append("{\"id\":\"x\",\"author\":\"me\",\"set\":{\"teams/a/weight\":-1}}");
        JsonNode entry =
                call(ROOT, "history", Map.of("path", "teams/muscat")).get(JsonNode.class).path(0);
        assertThat(entry.path("author").asText()).isEqualTo("bootstrap");
        assertThat(entry.path("reason").asText()).isEqualTo("wedding season");
        JsonNode rejection = get("rejections").readEntity(JsonNode.class).path(0);
        assertThat(rejection.path("path").asText()).isEqualTo("teams/a/weight");
    }

    @Test
    void statusNamesInstancesThatDidNotAnswer() {
        JsonNode status = get("fleet/status").readEntity(JsonNode.class);
        assertThat(status.path("instances").path(0).path("offset").asLong()).isEqualTo(-1);
        assertThat(status.path("unanswered").path(0).asText()).isEqualTo("router-9");
    }

    @Test
    void drainedUpstreamIsInTheConfiguration() {
        String path = "fleet/upstreams/engine-1/drain";
        assertThat(call(ROOT, path, Map.of()).put(Entity.json("")).getStatus()).isEqualTo(200);
        assertThat(mFixture.follower().config().draining()).containsExactly("engine-1");
        assertThat(call(ROOT, path, Map.of()).delete().getStatus()).isEqualTo(200);
        assertThat(mFixture.follower().config().draining()).isEmpty();
    }

    @Test
    void delayIsExplainedFromInstancesAndLog() {
        put(CAFE + "/weight", "1");
        put("teams/seeb/workspaces/souq/weight", "1");
        mFixture.decide(waited("cafe", "souq"));
        JsonNode story = get("explain/workspaces/cafe").readEntity(JsonNode.class);
        assertThat(story.path("ahead").path(0).path("name").asText()).isEqualTo("souq");
        assertThat(story.path("unanswered").toString()).contains("router-9");
        JsonNode request = get("explain/requests/r-1").readEntity(JsonNode.class);
        assertThat(request.path("sentences").toString()).contains("souq");
        assertThat(get("explain/requests/r-2").getStatus()).isEqualTo(404);
        JsonNode comparison =
                call(ROOT, "explain/comparison", Map.of("left", "cafe", "right", "souq"))
                        .get(JsonNode.class);
        assertThat(comparison.path("left").path("backloggedMillis").asLong()).isEqualTo(300);
        assertThat(get("explain/workspaces/unknown").getStatus()).isEqualTo(404);
    }

    @Test
    void summariesInTheLogOutliveTheInstance() {
        put(CAFE + "/weight", "1");
        mFixture.decide(waited("cafe", "souq"));
        mFixture.writeSummaries();
        mFixture.forgetDecisions();
        JsonNode story = get("explain/workspaces/cafe").readEntity(JsonNode.class);
        assertThat(story.path("waitedMillis").path(0).path("amount").asLong()).isEqualTo(300);
        mFixture.log().setOut(true);
        assertThat(
                        get("explain/workspaces/cafe")
                                .readEntity(JsonNode.class)
                                .path("unanswered")
                                .toString())
                .contains("log");
    }

    @Test
    void burnReportListsObjectives() {
        put(CAFE + "/objectives/urgent/latency-ms", "900");
        JsonNode report = get("report/burn").readEntity(JsonNode.class);
        JsonNode level = report.path("workspaces").path(0).path("levels").path(0);
        assertThat(level.path("objective").asText()).isEqualTo("answer within 900 ms");
        assertThat(level.path("budgetLeft").asDouble()).isEqualTo(1);
    }

    private static DecisionRecord waited(String workspace, String ahead) {
        return new DecisionRecord(
                AdminFixture.NOW_MILLIS,
                Step.QUEUE,
                Cause.BEHIND_WORKSPACE,
                Optional.of(new RequestId("r-1")),
                Optional.of(new WorkspaceId(workspace)),
                Optional.empty(),
                Optional.of(new WorkspaceId(ahead)),
                Map.of(NumberNames.WAITED_MILLIS, 300.0));
    }

    private int setAs(String key, String path, String json) {
        return call(key, "settings/" + path, Map.of()).put(Entity.json(json)).getStatus();
    }

    private Response put(String path, String json) {
        return call(ROOT, "settings/" + path, Map.of()).put(Entity.json(json));
    }

    private Response post(String path, String json) {
        return call(ROOT, path, Map.of()).post(Entity.json(json));
    }

    private Response get(String path) {
        return call(ROOT, path, Map.of()).get();
    }

    private Invocation.Builder call(String key, String path, Map<String, Object> params) {
        WebTarget target = mApi.target("/admin/v1/" + path);
        for (Map.Entry<String, Object> param : params.entrySet()) {
            target = target.queryParam(param.getKey(), param.getValue());
        }
        return target.request(MediaType.APPLICATION_JSON).header("Authorization", "Bearer " + key);
    }

    private static ResourceExtension extension(AdminFixture fixture) {
        ResourceExtension.Builder builder =
                ResourceExtension.builder()
                        .setClientConfigurator(
                                config ->
                                        config.property(
                                                HttpUrlConnectorProvider.SET_METHOD_WORKAROUND,
                                                true));
        fixture.components().forEach(builder::addResource);
        return builder.build();
    }
}

package org.magnoliapick.router.internal.caller;

import jakarta.inject.Inject;
import jakarta.inject.Singleton;
import jakarta.ws.rs.GET;
import jakarta.ws.rs.POST;
import jakarta.ws.rs.Path;
import jakarta.ws.rs.Produces;
import jakarta.ws.rs.container.AsyncResponse;
import jakarta.ws.rs.container.Suspended;
import jakarta.ws.rs.core.Context;
import jakarta.ws.rs.core.HttpHeaders;
import jakarta.ws.rs.core.MediaType;
import jakarta.ws.rs.core.Response;
import java.util.List;
import java.util.Map;
import org.magnoliapick.config.TargetConfig;
import org.magnoliapick.lib.RequestId;
import org.magnoliapick.lib.TargetKind;

/** Model requests in the shape that clients of the field speak. */
@Singleton
@Path("/v1")
public final class ModelResource {
    private final RequestReader mReader;
    private final Admission mAdmission;

    @Inject
    ModelResource(RequestReader reader, Admission admission) {
        mReader = reader;
        mAdmission = admission;
    }

    /** Runs a chat completion. */
    @POST
    @Path("/chat/completions")
    public void chat(byte[] body, @Context HttpHeaders headers, @Suspended AsyncResponse response) {
        run("/v1/chat/completions", body, headers, response);
    }

    /** Runs a text completion. */
    @POST
    @Path("/completions")
    public void complete(
            byte[] body, @Context HttpHeaders headers, @Suspended AsyncResponse response) {
        run("/v1/completions", body, headers, response);
    }

    /** Lists the models. */
    @GET
    @Path("/models")
    @Produces(MediaType.APPLICATION_JSON)
    public Response models(@Context HttpHeaders headers) {
        try {
            mReader.workspaceOf(headers);
        } catch (CallerRejection e) {
            return Admission.rejection(mReader.newId(), e.kind(), mReader.config().offset());
        }
        List<Map<String, String>> models =
                mReader.config().targets().values().stream()
                        .filter(target -> target.kind() == TargetKind.MODEL)
                        .map(TargetConfig::name)
                        .sorted()
                        .map(name -> Map.of("id", name, "object", "model"))
                        .toList();
        return Response.ok(Map.of("object", "list", "data", models)).build();
    }

    private void run(String path, byte[] body, HttpHeaders headers, AsyncResponse response) {
        RequestId id = mReader.newId();
        mAdmission.admit(id, response, () -> mReader.readModel(id, path, headers, body));
    }
}

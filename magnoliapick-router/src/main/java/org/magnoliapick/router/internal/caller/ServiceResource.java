package org.magnoliapick.router.internal.caller;

import jakarta.inject.Inject;
import jakarta.inject.Singleton;
import jakarta.ws.rs.DELETE;
import jakarta.ws.rs.GET;
import jakarta.ws.rs.HEAD;
import jakarta.ws.rs.OPTIONS;
import jakarta.ws.rs.PATCH;
import jakarta.ws.rs.POST;
import jakarta.ws.rs.PUT;
import jakarta.ws.rs.Path;
import jakarta.ws.rs.PathParam;
import jakarta.ws.rs.container.AsyncResponse;
import jakarta.ws.rs.container.Suspended;
import jakarta.ws.rs.core.Context;
import jakarta.ws.rs.core.HttpHeaders;
import jakarta.ws.rs.core.Request;
import jakarta.ws.rs.core.UriInfo;
import org.magnoliapick.lib.RequestId;

/** Requests to plain services: method, path, headers and body are passed through. */
@Singleton
@Path("/services/{service}{rest:(/.*)?}")
public final class ServiceResource {
    private static final byte[] NO_BODY = new byte[0];

    private final RequestReader mReader;
    private final Admission mAdmission;

    @Inject
    ServiceResource(RequestReader reader, Admission admission) {
        mReader = reader;
        mAdmission = admission;
    }

    /** Passes on a request without a body. */
    @GET
    public void get(
            @PathParam("service") String service,
            @Context UriInfo uri,
            @Context HttpHeaders headers,
            @Context Request request,
            @Suspended AsyncResponse response) {
        run(service, NO_BODY, uri, headers, request, response);
    }

    /** Passes on a request for the head of an answer. */
    @HEAD
    public void head(
            @PathParam("service") String service,
            @Context UriInfo uri,
            @Context HttpHeaders headers,
            @Context Request request,
            @Suspended AsyncResponse response) {
        run(service, NO_BODY, uri, headers, request, response);
    }

    /** Passes on a question for what is allowed. */
    @OPTIONS
    public void options(
            @PathParam("service") String service,
            @Context UriInfo uri,
            @Context HttpHeaders headers,
            @Context Request request,
            @Suspended AsyncResponse response) {
        run(service, NO_BODY, uri, headers, request, response);
    }

    /** Passes on a request with a body. */
    @POST
    public void post(
            byte[] body,
            @PathParam("service") String service,
            @Context UriInfo uri,
            @Context HttpHeaders headers,
            @Context Request request,
            @Suspended AsyncResponse response) {
        run(service, body, uri, headers, request, response);
    }

    /** Passes on a request that replaces something. */
    @PUT
    public void put(
            byte[] body,
            @PathParam("service") String service,
            @Context UriInfo uri,
            @Context HttpHeaders headers,
            @Context Request request,
            @Suspended AsyncResponse response) {
        run(service, body, uri, headers, request, response);
    }

    /** Passes on a request that changes something. */
    @PATCH
    public void patch(
            byte[] body,
            @PathParam("service") String service,
            @Context UriInfo uri,
            @Context HttpHeaders headers,
            @Context Request request,
            @Suspended AsyncResponse response) {
        run(service, body, uri, headers, request, response);
    }

    /** Passes on a request that removes something. */
    @DELETE
    public void delete(
            byte[] body,
            @PathParam("service") String service,
            @Context UriInfo uri,
            @Context HttpHeaders headers,
            @Context Request request,
            @Suspended AsyncResponse response) {
        run(service, body, uri, headers, request, response);
    }

    private void run(
            String service,
            byte[] body,
            UriInfo uri,
            HttpHeaders headers,
            Request request,
            AsyncResponse response) {
        RequestId id = mReader.newId();
        String path = pathBehind(service, uri);
        mAdmission.admit(
                id,
                response,
                () -> mReader.readService(id, service, request.getMethod(), path, headers, body));
    }

    private static String pathBehind(String service, UriInfo uri) {
        String rawPath = uri.getRequestUri().getRawPath();
        String prefix = "/services/" + service;
        int start = rawPath.indexOf(prefix) + prefix.length();
        String rest = rawPath.substring(Math.min(start, rawPath.length()));
        String query = uri.getRequestUri().getRawQuery();
        String path = rest.isEmpty() ? "/" : rest;
        return query == null ? path : path + "?" + query;
    }
}

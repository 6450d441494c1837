package org.magnoliapick.standin;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.function.BooleanSupplier;

/** Keeps an upstream stand-in in the instance list, as the platform does with real ones. */
final class Registration {
    private static final long RENEW_MILLIS = 1_000;
    private static final Duration TIMEOUT = Duration.ofSeconds(2);

    private final HttpClient mClient = HttpClient.newBuilder().connectTimeout(TIMEOUT).build();
    private final URI mUri;
    private final ObjectNode mMember;
    private final BooleanSupplier mIsLeaving;

    private Registration(String list, ObjectNode member, BooleanSupplier isLeaving) {
        mUri = URI.create("http://" + list + "/members/" + member.path("name").asText());
        mMember = member;
        mIsLeaving = isLeaving;
    }

    /** Adds the options that {@link #start} reads. */
    static StandinCommand addOptions(StandinCommand command) {
        return command.add("list", "IP:PORT", "instance list to register with (none)")
                .add("name", "NAME", "name in the instance list")
                .add("domain", "DOMAIN", "failure domain")
                .add("targets", "A,B", "models or services in the instance list");
    }

    /** Registers and renews for as long as the process lives, if the command line says so. */
    static void start(StandinCommand command, String role, int port, BooleanSupplier isLeaving) {
        if (!command.has("list")) {
            return;
        }
        ObjectNode member = Call.MAPPER.createObjectNode();
        member.put("name", command.text("name", role + "-" + port));
        member.put("role", role);
        member.put("domain", command.text("domain", "default"));
        member.put("host", command.host());
        member.put("port", port);
        member.put("peerPort", 0);
        List<String> targets = command.texts("targets", "default");
        targets.forEach(member.putArray("targets")::add);
        Registration registration = new Registration(command.text("list", ""), member, isLeaving);
        Thread thread = new Thread(registration::renewForever, "registration");
        thread.setDaemon(true);
        thread.start();
    }

    private void renewForever() {
        try {
            while (true) {
                renew();
                Thread.sleep(RENEW_MILLIS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void renew() throws InterruptedException {
        mMember.put("leaving", mIsLeaving.getAsBoolean());
        HttpRequest request =
                HttpRequest.newBuilder(mUri)
                        .timeout(TIMEOUT)
                        .PUT(HttpRequest.BodyPublishers.ofString(mMember.toString()))
                        .build();
        try {
            mClient.send(request, HttpResponse.BodyHandlers.discarding());
        } catch (IOException e) {
            // The list may be out; the next renewal tries again.
        }
    }
}

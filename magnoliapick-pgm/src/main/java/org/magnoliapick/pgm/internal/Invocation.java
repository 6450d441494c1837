package org.magnoliapick.pgm.internal;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.UUID;
import org.apache.commons.cli.CommandLine;

/** One run of a command: its arguments, the routers and the console. */
final class Invocation {
    private final String mCommand;
    private final CommandLine mLine;
    private final List<String> mArguments;
    private final CtlSettings mSettings;
    private final RouterClient mClient;
    private final Console mConsole;

    Invocation(
            String command,
            CommandLine line,
            List<String> arguments,
            CtlSettings settings,
            Console console) {
        mCommand = command;
        mLine = line;
        mArguments = List.copyOf(arguments);
        mSettings = settings;
        mClient = new RouterClient(settings);
        mConsole = console;
    }

    /** Returns an argument, or ends the command if it is missing. */
    String argument(int place, String name) {
        return optionalArgument(place)
                .orElseThrow(() -> PgmException.usage("missingArgument", mCommand, name));
    }

    Optional<String> optionalArgument(int place) {
        return place < mArguments.size() ? Optional.of(mArguments.get(place)) : Optional.empty();
    }

    Optional<String> option(String name) {
        return Optional.ofNullable(mLine.getOptionValue(name));
    }

    boolean has(String option) {
        return mLine.hasOption(option);
    }

    List<String> arguments() {
        return mArguments;
    }

    CtlSettings settings() {
        return mSettings;
    }

    void print(String text) {
        mConsole.out().println(text);
    }

    void print(Table table) {
        table.lines().forEach(this::print);
    }

    /** Writes a result for programs; returns whether it did. */
    boolean printForPrograms(JsonNode result) {
        Optional<String> text = mSettings.output().write(result);
        text.ifPresent(this::print);
        return text.isPresent();
    }

    /** Reads from the API, or ends the command with what it said. */
    RouterClient.Answer read(RouterClient.Call call) {
        RouterClient.Answer answer = mClient.call(call);
        return answer.isError() ? refuse(answer) : answer;
    }

    /** Reads something that may be absent. */
    Optional<RouterClient.Answer> readIfPresent(RouterClient.Call call) {
        RouterClient.Answer answer = mClient.call(call);
        if (answer.error().equals("not-found")) {
            return Optional.empty();
        }
        return Optional.of(answer.isError() ? refuse(answer) : answer);
    }

    /** Makes a change with the reason, token and dry run of the command line. */
    RouterClient.Answer change(
            String method, String path, Optional<JsonNode> body, Map<String, String> headers) {
        String token = option("token").orElseGet(() -> UUID.randomUUID().toString());
        RouterClient.Call call =
                new RouterClient.Call(method, path, Map.of("token", token), headers, body);
        if (option("reason").isPresent()) {
            call = call.with("reason", option("reason").get());
        }
        if (has("dry-run")) {
            call = call.with("dryRun", "true");
        }
        return read(call);
    }

    /** Prints that a change was accepted. */
    void printChange(RouterClient.Answer answer) {
        if (printForPrograms(answer.body())) {
            return;
        }
        boolean isDryRun = answer.body().path("dryRun").asBoolean();
        print(
                isDryRun
                        ? PgmText.get("dryRun")
                        : PgmText.get("accepted", answer.body().path("offset").asText()));
    }

    /** Prints which instances did not answer. */
    void printUnanswered(JsonNode body) {
        StringBuilder names = new StringBuilder();
        for (JsonNode name : body.path("unanswered")) {
            names.append(names.length() == 0 ? "" : ", ").append(name.asText());
        }
        print(
                names.length() == 0
                        ? PgmText.get("everybodyAnswered")
                        : PgmText.get("unanswered", names));
    }

    private static RouterClient.Answer refuse(RouterClient.Answer answer) {
        throw Refusals.of(answer.error(), answer.body());
    }
}

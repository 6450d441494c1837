package org.magnoliapick.load;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonMappingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.exc.UnrecognizedPropertyException;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import java.util.stream.Collectors;

/**
 * What to send, to whom and for how long.
 *
 * @param routers addresses of the entry instances, as {@code IP:PORT}
 * @param services addresses of the plain services whose records are compared with the answers
 * @param seconds how long new requests are sent
 * @param requestTimeoutMillis how long one attempt may take
 * @param maxRetries how often a request is sent again after an answer that allows it
 * @param seed seed of the order of the requests
 * @param readyPath path that tells whether an entry instance takes work; blank to ask none
 * @param workspaces the workspaces with their callers
 */
public record LoadPlan(
        @JsonProperty(required = true) List<String> routers,
        List<String> services,
        @JsonProperty(required = true) int seconds,
        @JsonProperty(required = true) int requestTimeoutMillis,
        int maxRetries,
        long seed,
        String readyPath,
        @JsonProperty(required = true) List<WorkspacePlan> workspaces) {
    private static final int MAX_SECONDS = 3_600;
    private static final int MAX_CALLERS = 1_000;

    /**
     * One workspace's callers.
     *
     * @param name its name
     * @param team its team; gaps are taken inside a team
     * @param key the bearer key that names it to the fleet
     * @param callers how many requests it has in progress at a time
     * @param pauseMillis pause of a caller between two requests
     * @param weight its share, by which service received is divided
     * @param weightChanges later shares
     * @param backlogged whether it is meant to have work waiting all the time
     * @param kinds how often each kind of request is sent, as a part of the sum
     */
    public record WorkspacePlan(
            @JsonProperty(required = true) String name,
            String team,
            @JsonProperty(required = true) String key,
            @JsonProperty(required = true) int callers,
            long pauseMillis,
            @JsonProperty(required = true) double weight,
            List<WeightChange> weightChanges,
            boolean backlogged,
            @JsonProperty(required = true) Map<String, Integer> kinds) {
        /** Fills in what may be left out. */
        public WorkspacePlan {
            team = team == null ? "" : team;
            weightChanges = weightChanges == null ? List.of() : List.copyOf(weightChanges);
        }

        /** Returns the share at a time, in seconds since the start of the load. */
        public double weightAt(double seconds) {
            double weight = weight();
            for (WeightChange change : weightChanges) {
                weight = seconds >= change.atSeconds() ? change.weight() : weight;
            }
            return weight;
        }

        private void check(String path) throws PlanException {
            require(callers > 0 && callers <= MAX_CALLERS, path + ".callers", "1 to 1000");
            require(weight > 0, path + ".weight", "more than 0");
            require(!kinds.isEmpty(), path + ".kinds", "at least one kind");
            for (Map.Entry<String, Integer> kind : kinds.entrySet()) {
                boolean isKnown = RequestKind.ofWireName(kind.getKey()).isPresent();
                require(isKnown, path + ".kinds." + kind.getKey(), RequestKind.wireNames());
                require(kind.getValue() > 0, path + ".kinds." + kind.getKey(), "1 or more");
            }
        }
    }

    /**
     * A share that holds from a time on.
     *
     * @param atSeconds seconds since the start of the load
     * @param weight the share
     */
    public record WeightChange(double atSeconds, double weight) {}

    /** Fills in what may be left out. */
    public LoadPlan {
        services = services == null ? List.of() : List.copyOf(services);
        readyPath = readyPath == null ? "" : readyPath;
    }

    /**
     * Reads a plan and checks it.
     *
     * @throws PlanException naming the file, the path in it and what is allowed
     */
    public static LoadPlan read(Path file) throws PlanException {
        ObjectMapper mapper = new ObjectMapper(new YAMLFactory());
        try {
            LoadPlan plan = mapper.readValue(Files.readAllBytes(file), LoadPlan.class);
            plan.check();
            return plan;
        } catch (UnrecognizedPropertyException e) {
            String allowed = new TreeSet<>(e.getKnownPropertyIds()).toString();
            throw new PlanException(file + ": " + pathOf(e) + ": unknown; allowed are " + allowed);
        } catch (JsonMappingException e) {
            throw new PlanException(file + ": " + pathOf(e) + ": " + firstLine(e));
        } catch (JsonProcessingException e) {
            throw new PlanException(file + ": " + firstLine(e));
        } catch (PlanException e) {
            throw new PlanException(file + ": " + e.getMessage());
        } catch (IOException e) {
            throw new PlanException(file + ": cannot be read");
        }
    }

    private static String pathOf(JsonMappingException e) {
        return e.getPath().stream()
                .map(
                        part ->
                                part.getFieldName() == null
                                        ? "" + part.getIndex()
                                        : part.getFieldName())
                .collect(Collectors.joining("."));
    }

    private static String firstLine(JsonProcessingException e) {
        return e.getOriginalMessage().lines().findFirst().orElse("cannot be read");
    }

    private void check() throws PlanException {
        require(!routers.isEmpty(), "routers", "at least one IP:PORT");
        for (String address : routers) {
            require(Address.isValid(address), "routers", "IP:PORT, not " + address);
        }
        for (String address : services) {
            require(Address.isValid(address), "services", "IP:PORT, not " + address);
        }
        require(seconds > 0 && seconds <= MAX_SECONDS, "seconds", "1 to 3600");
        require(requestTimeoutMillis > 0, "requestTimeoutMillis", "1 or more");
        require(maxRetries >= 0, "maxRetries", "0 or more");
        require(!workspaces.isEmpty(), "workspaces", "at least one");
        for (int i = 0; i < workspaces.size(); i++) {
            workspaces.get(i).check("workspaces." + i);
        }
    }

    private static void require(boolean holds, String path, String allowed) throws PlanException {
        if (!holds) {
            throw new PlanException(path + ": allowed is " + allowed);
        }
    }
}

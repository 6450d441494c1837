package org.magnoliapick.bench.policy;

import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import org.magnoliapick.share.ShareNode;
import org.magnoliapick.share.SharePolicy;
import org.magnoliapick.share.ShareSettings;

/** The policies by name. */
public final class Policies {
    /** The name of the policy that the targets compare with. */
    public static final String IDEAL = "ideal";

    private record Baseline(
            String label,
            boolean sharesOneNode,
            boolean messagesAreWhole,
            Function<Oracle, Nodes> nodes)
            implements Policy {
        @Override
        public Nodes open(Oracle oracle) {
            return nodes.apply(oracle);
        }
    }

    /** A policy that the product can be set to. */
    private record Decided(SharePolicy policy) implements Policy {
        @Override
        public String label() {
            return policy.name().toLowerCase(Locale.ROOT).replace('_', '-');
        }

        @Override
        public boolean sharesOneNode() {
            return false;
        }

        @Override
        public boolean messagesAreWhole() {
            return true;
        }

        @Override
        public Nodes open(Oracle oracle) {
            return (self, domain, incarnation, seed) ->
                    policy.create(ShareSettings.defaults(self, incarnation, domain, seed));
        }
    }

    private Policies() {}

    /** Finds a policy. */
    public static Optional<Policy> find(String name) {
        return Optional.ofNullable(all().get(name.toLowerCase(Locale.ROOT)));
    }

    /** Returns the names of all policies. */
    public static Set<String> names() {
        return all().keySet();
    }

    private static Map<String, Policy> all() {
        Map<String, Policy> policies = new LinkedHashMap<>();
        add(policies, new Baseline(IDEAL, true, true, Policies::idealNodes));
        add(
                policies,
                new Baseline(
                        "round-robin",
                        false,
                        true,
                        oracle -> (s, d, i, r) -> new RoundRobinNode()));
        add(policies, new Baseline("gossip", false, false, Policies::gossipNodes));
        for (SharePolicy policy : SharePolicy.values()) {
            add(policies, new Decided(policy));
        }
        return policies;
    }

    private static Policy.Nodes gossipNodes(Oracle oracle) {
        GossipNode.Board board = new GossipNode.Board();
        return (self, domain, incarnation, seed) -> new GossipNode(self, board);
    }

    private static Policy.Nodes idealNodes(Oracle oracle) {
        ShareNode shared = new IdealNode(oracle);
        return (self, domain, incarnation, seed) -> shared;
    }

    private static void add(Map<String, Policy> policies, Policy policy) {
        policies.put(policy.label(), policy);
    }
}

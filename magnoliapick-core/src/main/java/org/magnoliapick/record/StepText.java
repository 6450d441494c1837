package org.magnoliapick.record;

import org.magnoliapick.lib.WorkspaceId;

/** Explanation text for each {@link Step}, without the time and numbers of the decision. */
enum StepText {
    ADMISSION {
        @Override
        String sentence(DecisionRecord decision) {
            return "it was accepted and queued";
        }
    },
    QUEUE {
        @Override
        String sentence(DecisionRecord decision) {
            return "it had waited because " + reason(decision);
        }
    },
    GRANT {
        @Override
        String sentence(DecisionRecord decision) {
            return "its workspace got a slot because " + reason(decision);
        }
    },
    UPSTREAM_CHOICE {
        @Override
        String sentence(DecisionRecord decision) {
            String upstream = decision.upstream().map(Object::toString).orElse("no upstream");
            return decision.cause() == Cause.EJECTED
                    ? upstream + " was ejected after failures"
                    : "it was sent to " + upstream + " because " + reason(decision);
        }
    },
    RETRY {
        @Override
        String sentence(DecisionRecord decision) {
            return "it was retried because " + reason(decision);
        }
    },
    REFUSAL {
        @Override
        String sentence(DecisionRecord decision) {
            return "it was refused because " + reason(decision);
        }
    },
    END {
        @Override
        String sentence(DecisionRecord decision) {
            return decision.cause() == Cause.COMPLETED
                    ? "the caller had its whole answer"
                    : "it ended without a whole answer because " + reason(decision);
        }
    },
    DRAIN {
        @Override
        String sentence(DecisionRecord decision) {
            return "a member was leaving: " + reason(decision);
        }
    },
    ORDER {
        @Override
        String sentence(DecisionRecord decision) {
            return "an engine got an order: " + reason(decision);
        }
    };

    static StepText of(Step step) {
        return valueOf(step.name());
    }

    abstract String sentence(DecisionRecord decision);

    private static String reason(DecisionRecord decision) {
        String ahead =
                decision.ahead().map(WorkspaceId::value).map(it -> " (" + it + ")").orElse("");
        return decision.cause().phrase() + ahead;
    }
}

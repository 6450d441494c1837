package org.magnoliapick.proof;

import java.util.List;
import java.util.Locale;
import java.util.stream.Collectors;

/** Writes the matrices' feature files and their page from the enums. */
final class MatrixText {
    private MatrixText() {}

    static String cells() {
        StringBuilder text = new StringBuilder();
        text.append("Feature: every fault at every step\n");
        for (Machine machine : Machine.values()) {
            text.append("\n  Scenario Outline: ").append(machine.label());
            text.append(" at <step> when <fault> strikes\n");
            text.append("    Given a ").append(machine.label()).append(" at <step>\n");
            text.append("    When <fault> strikes\n    Then its promises hold\n\n");
            text.append("    Examples:\n      | step | fault |\n");
            for (Enum<?> step : machine.steps()) {
                machine.faults().forEach(fault -> row(text, Machine.label(step), fault.label()));
            }
        }
        return text.toString();
    }

    static String pairs() {
        StringBuilder text = new StringBuilder();
        text.append("@pairs\nFeature: every pair of faults, the second during the first\n");
        for (Machine machine : Machine.values()) {
            text.append("\n  Scenario Outline: ").append(machine.label());
            text.append(" when <first> and <second> strike\n");
            text.append("    Given a ").append(machine.label()).append(" at each of its steps\n");
            text.append("    When <first> strikes\n    And <second> strikes\n");
            text.append("    Then its promises hold\n\n");
            text.append("    Examples:\n      | first | second |\n");
            for (Fault first : machine.faults()) {
                machine.faults().forEach(second -> row(text, first.label(), second.label()));
            }
        }
        return text.toString();
    }

    private static void row(StringBuilder text, String left, String right) {
        text.append("      | ").append(left).append(" | ").append(right).append(" |\n");
    }

    /** Returns the page; each cell in it has a scenario of the same name. */
    static String page() {
        StringBuilder text = new StringBuilder();
        text.append("# Fault matrix\n\n");
        text.append("Written by `bin/fault-matrix`; do not edit. A mark is a cell: the fault at ");
        text.append("the step, checked by a scenario.\nA dash is a fault that the machine has no ");
        text.append("input for. The second matrix runs every ordered pair of a\nmachine's faults ");
        text.append("at each of its steps.\n");
        int cells = 0;
        int pairs = 0;
        for (Machine machine : Machine.values()) {
            appendTable(text, machine);
            cells += machine.steps().size() * machine.faults().size();
            pairs += machine.faults().size() * machine.faults().size();
        }
        text.append(String.format(Locale.ROOT, "%n%d cells; %d pairs.%n", cells, pairs));
        return text.toString();
    }

    private static void appendTable(StringBuilder text, Machine machine) {
        List<String> steps = machine.steps().stream().map(Machine::label).toList();
        text.append("\n## ").append(machine.label()).append("\n\n| fault | ");
        text.append(String.join(" | ", steps)).append(" |\n|---|");
        text.append("---|".repeat(steps.size())).append('\n');
        for (Fault fault : Fault.values()) {
            String mark = machine.faults().contains(fault) ? "x" : "-";
            String marks = steps.stream().map(step -> mark).collect(Collectors.joining(" | "));
            text.append("| ").append(fault.label()).append(" | ").append(marks).append(" |\n");
        }
    }
}

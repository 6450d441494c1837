package org.magnoliapick.proof;

import static org.assertj.core.api.Assertions.assertThat;

import edu.mit.csail.sdg.alloy4.A4Reporter;
import edu.mit.csail.sdg.ast.Command;
import edu.mit.csail.sdg.ast.Module;
import edu.mit.csail.sdg.parser.CompUtil;
import edu.mit.csail.sdg.translator.A4Options;
import edu.mit.csail.sdg.translator.TranslateAlloyToKodkod;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import kodkod.engine.satlab.SATFactory;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Checks the models. A line {@code --! name: old ==> new} of a model is a mutation; each must be
 * refuted by one of the model's own assertions.
 */
final class AlloyModelTest {
    private static final Path MODELS = Path.of("src/main/alloy");
    private static final String MUTATION_PREFIX = "--! ";
    private static final String ARROW = " ==> ";

    @TempDir private Path mScratch;

    private record Mutation(String name, String oldText, String newText) {}

    @ParameterizedTest
    @MethodSource("models")
    void assertionsHoldAndRunsHaveAnInstance(Path model) throws IOException {
        Module module = parse(model);
        for (Command command : module.getAllCommands()) {
            assertThat(isSatisfiable(module, command)).as(command.label).isEqualTo(!command.check);
        }
    }

    @ParameterizedTest
    @MethodSource("models")
    void everyMutationIsRefuted(Path model) throws IOException {
        String text = Files.readString(model);
        List<Mutation> mutations = mutations(text);
        assertThat(mutations).hasSizeGreaterThanOrEqualTo(2);
        for (Mutation mutation : mutations) {
            String refutedBy = refutingAssertion(text, mutation);
            assertThat(refutedBy).as(mutation.name()).isNotEmpty();
            System.out.printf(
                    "%s: %s refuted by %s%n", model.getFileName(), mutation.name(), refutedBy);
        }
    }

    private String refutingAssertion(String text, Mutation mutation) throws IOException {
        assertThat(text.indexOf(mutation.oldText())).as(mutation.name()).isNotNegative();
        int at = text.indexOf(mutation.oldText());
        String mutated =
                text.substring(0, at)
                        + mutation.newText()
                        + text.substring(at + mutation.oldText().length());
        Path file = mScratch.resolve(mutation.name() + ".als");
        Files.writeString(file, mutated);
        Module module = parse(file);
        for (Command command : module.getAllCommands()) {
            if (command.check && isSatisfiable(module, command)) {
                return command.label;
            }
        }
        return "";
    }

    private static List<Mutation> mutations(String text) {
        return text.lines()
                .filter(line -> line.startsWith(MUTATION_PREFIX))
                .map(AlloyModelTest::mutation)
                .toList();
    }

    private static Mutation mutation(String line) {
        String body = line.substring(MUTATION_PREFIX.length());
        int colon = body.indexOf(": ");
        int arrow = body.indexOf(ARROW);
        return new Mutation(
                body.substring(0, colon),
                body.substring(colon + 2, arrow),
                body.substring(arrow + ARROW.length()));
    }

    private static Module parse(Path file) {
        return CompUtil.parseEverything_fromFile(A4Reporter.NOP, null, file.toString());
    }

    private static boolean isSatisfiable(Module module, Command command) {
        A4Options options = new A4Options();
        options.solver = SATFactory.find("sat4j").orElseThrow();
        return TranslateAlloyToKodkod.execute_command(
                        A4Reporter.NOP, module.getAllReachableSigs(), command, options)
                .satisfiable();
    }

    static Stream<Path> models() throws IOException {
        try (Stream<Path> files = Files.list(MODELS)) {
            return files.sorted().toList().stream();
        }
    }
}

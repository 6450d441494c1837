package org.magnoliapick.proof;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;

/**
 * The committed feature files and page hold one cell for each step and fault of the enums. Run with
 * {@code -Dfault.matrix.write=true} to write them.
 */
final class MatrixTextTest {
    private static final Path FEATURES = Path.of("src/test/resources/org/magnoliapick/proof");
    private static final Path PAGE = Path.of("../docs/FAULT-MATRIX.md");
    private static final boolean WRITES = Boolean.getBoolean("fault.matrix.write");

    @Test
    void everyStepAndFaultHasItsCell() throws IOException {
        check(FEATURES.resolve("fault-matrix.feature"), MatrixText.cells());
    }

    @Test
    void everyPairOfFaultsHasItsCell() throws IOException {
        check(FEATURES.resolve("fault-pairs.feature"), MatrixText.pairs());
    }

    @Test
    void pageShowsTheCells() throws IOException {
        check(PAGE, MatrixText.page());
    }

    private static void check(Path file, String wanted) throws IOException {
        if (WRITES) {
            Files.createDirectories(file.getParent());
            Files.writeString(file, wanted);
        }
        assertThat(Files.readString(file)).isEqualTo(wanted);
    }
}

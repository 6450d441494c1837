package org.magnoliapick;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import java.time.Clock;
import java.time.Instant;
import java.util.Random;
import java.util.UUID;
import org.junit.jupiter.api.Test;

/** Checks that the core classes use no I/O, threads, clocks or unseeded randomness. */
final class PurityTest {
    private final JavaClasses mClasses =
            new ClassFileImporter()
                    .withImportOption(new ImportOption.DoNotIncludeTests())
                    .importPackages("org.magnoliapick");

    @Test
    void coreUsesNoIo() {
        noClasses()
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("java.net..", "java.nio.file..", "java.nio.channels..")
                .check(mClasses);
    }

    @Test
    void coreUsesNoThreads() {
        noClasses()
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("java.util.concurrent..")
                .orShould()
                .dependOnClassesThat()
                .areAssignableTo(Thread.class)
                .check(mClasses);
    }

    @Test
    void coreReadsNoClock() {
        noClasses()
                .should()
                .callMethod(System.class, "currentTimeMillis")
                .orShould()
                .callMethod(System.class, "nanoTime")
                .orShould()
                .callMethod(Instant.class, "now")
                .orShould()
                .dependOnClassesThat()
                .areAssignableTo(Clock.class)
                .check(mClasses);
    }

    @Test
    void coreUsesNoUnseededRandomness() {
        noClasses()
                .should()
                .callMethod(Math.class, "random")
                .orShould()
                .callConstructor(Random.class)
                .orShould()
                .callMethod(UUID.class, "randomUUID")
                .check(mClasses);
    }
}

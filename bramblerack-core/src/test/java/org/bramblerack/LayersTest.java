package org.bramblerack;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.jupiter.api.Test;

/** Guards against I/O, threads and clocks in the packages that decide on requests. */
final class LayersTest {
    private static final JavaClasses CLASSES = new ClassFileImporter()
            .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
            .importPackages(
                    "org.bramblerack.request",
                    "org.bramblerack.connection",
                    "org.bramblerack.version",
                    "org.bramblerack.process");

    @Test
    void corePackagesUseNoNetworkFilesOrThreads() {
        noClasses()
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("java.net..", "java.nio.file..", "java.nio.channels..", "io.netty..", "io.vertx..")
                .check(CLASSES);
        noClasses()
                .should()
                .dependOnClassesThat()
                .haveFullyQualifiedName("java.lang.Thread")
                .orShould()
                .dependOnClassesThat()
                .haveFullyQualifiedName("java.util.concurrent.ExecutorService")
                .check(CLASSES);
    }

    @Test
    void onlyMonotonicClockReadsTheTime() {
        noClasses()
                .that()
                .doNotHaveFullyQualifiedName("org.bramblerack.process.MonotonicClock")
                .should()
                .callMethod(System.class, "nanoTime")
                .orShould()
                .callMethod(System.class, "currentTimeMillis")
                .check(CLASSES);
    }
}

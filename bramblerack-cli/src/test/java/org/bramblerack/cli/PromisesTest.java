package org.bramblerack.cli;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.bramblerack.cli.bench.Benches;
import org.bramblerack.cli.bench.CapacityModel;
import org.junit.jupiter.api.Test;

/** Checks that the documentation names existing tests and current tables, and checks the exit codes of the program. */
final class PromisesTest {
    private static final Path REPOSITORY_ROOT = Path.of("..");
    private static final Pattern TEST_REFERENCE = Pattern.compile("`(\\w+Test)(?:\\.(\\w+))?`");

    @Test
    void everyTestThatThePagesNameExists() throws IOException {
        Set<String> testReferences = new HashSet<>();
        for (String page : List.of("docs/PROMISES.md", "docs/FAULTS.md")) {
            Matcher matcher = TEST_REFERENCE.matcher(Files.readString(REPOSITORY_ROOT.resolve(page)));
            while (matcher.find()) {
                String method = matcher.group(2) == null ? "" : matcher.group(2);
                testReferences.add(matcher.group(1) + "." + method);
            }
        }
        assertThat(testReferences.size()).isGreaterThan(15);
        for (String reference : testReferences) {
            int dot = reference.indexOf('.');
            String source = sourceOf(reference.substring(0, dot));
            assertWithMessage(reference).that(source).contains(" " + reference.substring(dot + 1));
        }
    }

    @Test
    void theCapacityPageShowsTheTablesOfTheMeasuredSlopes() throws IOException {
        String page = Files.readString(REPOSITORY_ROOT.resolve("docs/CAPACITY.md"));
        CapacityModel.tables().forEach(line -> assertThat(page).contains(line));
    }

    @Test
    void everyBenchmarkHasItsHelp() {
        Benches.all().forEach(bench -> assertThat(bench.summary()).isNotEmpty());
        assertThat(Main.run(new String[] {"bench", "none"}, System.out)).isEqualTo(ExitCode.USAGE);
        assertThat(Main.run(new String[] {"none"}, System.out)).isEqualTo(ExitCode.USAGE);
        assertThat(Main.run(new String[] {"check", "--help"}, System.out)).isEqualTo(ExitCode.OK);
        assertThat(Main.run(new String[] {"check", "no-such-file"}, System.out)).isEqualTo(ExitCode.UNAVAILABLE);
        assertThat(Main.run(new String[] {"check", "../examples/host.json"}, System.out))
                .isEqualTo(ExitCode.OK);
        assertThat(Main.run(new String[] {"check", "../LICENSE"}, System.out)).isEqualTo(ExitCode.REFUSED);
    }

    private static String sourceOf(String testClass) throws IOException {
        try (Stream<Path> files = Files.walk(REPOSITORY_ROOT)) {
            Path found = files.filter(file -> file.getFileName().toString().equals(testClass + ".java"))
                    .findFirst()
                    .orElseThrow(() -> new AssertionError("there is no test class " + testClass));
            return Files.readString(found);
        }
    }
}

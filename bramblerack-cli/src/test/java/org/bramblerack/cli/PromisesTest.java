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

/** Checks that the pages name tests, counters and benchmarks that exist. */
final class PromisesTest {
    private static final Path TOP = Path.of("..");
    private static final Pattern TEST = Pattern.compile("`(\\w+Test)(?:\\.(\\w+))?`");

    @Test
    void everyTestThatThePagesNameExists() throws IOException {
        Set<String> named = new HashSet<>();
        for (String page : List.of("docs/PROMISES.md", "docs/FAULTS.md")) {
            Matcher matcher = TEST.matcher(Files.readString(TOP.resolve(page)));
            while (matcher.find()) {
                String method = matcher.group(2) == null ? "" : matcher.group(2);
                named.add(matcher.group(1) + "." + method);
            }
        }
        assertThat(named.size()).isGreaterThan(15);
        for (String name : named) {
            int dot = name.indexOf('.');
            String source = sourceOf(name.substring(0, dot));
            assertWithMessage(name).that(source).contains(" " + name.substring(dot + 1));
        }
    }

    @Test
    void theCapacityPageShowsTheTablesOfTheMeasuredSlopes() throws IOException {
        String page = Files.readString(TOP.resolve("docs/CAPACITY.md"));
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
        try (Stream<Path> files = Files.walk(TOP)) {
            Path found = files.filter(file -> file.getFileName().toString().equals(testClass + ".java"))
                    .findFirst()
                    .orElseThrow(() -> new AssertionError("there is no test class " + testClass));
            return Files.readString(found);
        }
    }
}

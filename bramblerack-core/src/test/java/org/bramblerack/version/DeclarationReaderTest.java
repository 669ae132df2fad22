package org.bramblerack.version;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import io.vavr.control.Either;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.bramblerack.process.document.ValidationError;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

final class DeclarationReaderTest {
    private static final Path EXAMPLES = Path.of("..", "examples");

    @ParameterizedTest
    @CsvSource({"sagarmatha, 4, 108", "spinifex, 4, 106"})
    void readsTheExamples(String partner, int services, int upstreams) throws IOException {
        Declaration declaration = DeclarationReader.read(example(partner)).get();
        assertThat(declaration.services()).hasSize(services);
        int count = declaration.services().values().stream()
                .mapToInt(service -> service.upstreams().size())
                .sum();
        assertThat(count).isEqualTo(upstreams);
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "\"slots\": 2|\"slots\": 0|services[0].slots|out of bounds",
                "\"slots\": 2|\"slots\": 2.5|services[0].slots|a fraction",
                "\"slots\": 2|\"slots\": \"2\"|services[0].slots|a text",
                "\"slots\": 2|\"slotz\": 2|services[0].slotz|unknown",
                "\"connections\": 25|\"connections\": 1|services[0].connections|cannot carry",
                "\"deadlineMs\": 250|\"deadlineMs\": 0|services[0].classes[0].deadlineMs|out of bounds",
                "\"deadlineMs\": 250|\"deadline\": \"250ms\"|services[0].classes[0].deadline|unknown",
                "\"priority\": \"urgent\"|\"priority\": \"high\"|services[0].classes[0].priority|not a choice",
                "\"kind\": \"sharded\"|\"kind\": null|services[0].kind|null",
                "\"shards\": 20|\"shards\": 21|services[0].upstreams|shard 20 has no upstream",
                "\"name\": \"agent-portal\"|\"name\": \"dispute-fraud\"|services|given twice",
                "\"name\": \"dispute-00b\"|\"name\": \"dispute-00a\"|services[0].upstreams|given twice",
                "127.0.0.1:21001|127.0.0.1:21000|services[0].upstreams|same address",
                "127.0.0.1:21001|localhost:21001|services[0].upstreams[1].address|not an address",
                "\"formatVersion\": 1|\"formatVersion\": 2|formatVersion|out of bounds",
            })
    void reportsTheFieldAndTheProblem(String good, String bad, String field, String problem) throws IOException {
        ImmutableList<ValidationError> faults = faultsOf(replaceFirst(example("sagarmatha"), good, bad));
        assertThat(faults.stream()
                        .anyMatch(fault -> fault.field().equals(field)
                                && fault.problem().contains(problem)
                                && !fault.remedy().isEmpty()))
                .isTrue();
    }

    @Test
    void reportsAllErrorsInLineOrder() throws IOException {
        String text = example("spinifex")
                .replace("\"prefer\": \"coverage\"", "\"prefer\": \"all\"")
                .replace("\"kind\": \"pooled\"", "\"kind\": \"pool\"");
        ImmutableList<ValidationError> faults = faultsOf(text);
        assertThat(faults.size()).isGreaterThan(4);
        assertThat(faults.stream().map(ValidationError::line).toList()).isInOrder();
        String line = text.lines().toList().get(faults.get(0).line() - 1);
        assertThat(line).contains("\"all\"");
    }

    @ParameterizedTest
    @ValueSource(
            strings = {"", "[]", "null", "{", "{} {}", "\"text\"", "{\"a\": 1e400}", "{\"a\": 99999999999999999999}"})
    void rejectsTextThatIsNoDeclaration(String text) {
        assertThat(faultsOf(text)).isNotEmpty();
    }

    @Test
    void rejectsTextThatIsNestedTooDeepOrTooLong() {
        assertThat(faultsOf("[".repeat(100_000)).get(0).problem()).contains("nested too deep");
        assertThat(faultsOf("\"" + "x".repeat(9_000_000) + "\"").get(0).problem())
                .contains("characters");
    }

    private static String replaceFirst(String text, String good, String bad) {
        int position = text.indexOf(good);
        assertThat(position).isAtLeast(0);
        return text.substring(0, position) + bad + text.substring(position + good.length());
    }

    private static ImmutableList<ValidationError> faultsOf(String text) {
        Either<ImmutableList<ValidationError>, Declaration> read = DeclarationReader.read(text);
        assertThat(read.isLeft()).isTrue();
        return read.getLeft();
    }

    private static String example(String partner) throws IOException {
        return Files.readString(EXAMPLES.resolve(partner + ".json"));
    }
}

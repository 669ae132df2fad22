package org.bramblerack.daemon.settings;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import io.vavr.control.Either;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.regex.Pattern;
import org.bramblerack.process.document.ValidationError;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class SettingsReaderTest {
    @Test
    void readsTheExample() throws IOException {
        Settings settings = SettingsReader.read(exampleText()).get();
        assertThat(settings.voters()).hasSize(3);
        assertThat(settings.hasRole(Role.CONTROL)).isTrue();
        assertThat(settings.hostsInZone("bagmati")).containsExactly("sag-1", "sag-2");
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "\"roles\": [\"entry\", \"control\"]|\"roles\": [\"leader\"]|roles|not a role",
                "\"roles\": [\"entry\", \"control\"]|\"roles\": []|roles|no role",
                "\"dataFolder\": \"data/sag-1\",||dataFolder|needs a folder",
                "\"host\": \"sag-1\"|\"host\": \"sag-9\"|hosts|is not listed",
                "\"zone\": \"bagmati\",|\"zone\": \"koshi\",|hosts|differs",
                "\"name\": \"sag-2\"|\"name\": \"sag-3\"|hosts|listed twice",
                "\"sha256\": \"|\"sha256\": \"my credential |credentials[0].sha256|not the SHA-256",
                "\"workers\": 4|\"workers\": 0|workers|out of bounds",
                "\"file\":|\"path\":|platform.path|unknown",
            })
    void namesTheFieldAndTheProblem(String good, String bad, String field, String problem) throws IOException {
        String text = exampleText();
        assertThat(text).contains(good);
        Either<ImmutableList<ValidationError>, Settings> read =
                SettingsReader.read(text.replaceFirst(Pattern.quote(good), bad == null ? "" : bad));
        assertThat(read.isLeft()).isTrue();
        assertThat(read.getLeft().stream()
                        .anyMatch(fault ->
                                fault.field().equals(field) && fault.problem().contains(problem)))
                .isTrue();
    }

    private static String exampleText() throws IOException {
        return Files.readString(Path.of("..", "examples", "host.json"));
    }
}

package org.bramblerack.cli.experiment;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import io.vavr.control.Either;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import org.bramblerack.process.document.ValidationError;
import org.bramblerack.process.leaf.RoutingFeature;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

final class ExperimentsTest {
    private static final Path EXAMPLE = Path.of("..", "examples", "experiment.json");
    private static final Path UNEVEN = Path.of("..", "examples", "uneven.json");

    @TempDir
    Path folder;

    @Test
    void theExampleIsRead() throws Exception {
        Experiment experiment = ExperimentReader.read(Files.readString(EXAMPLE)).get();
        assertThat(experiment.fleet().hostCount()).isEqualTo(8);
        assertThat(experiment.policies().get(1).routing().uses(RoutingFeature.REFUSAL_PRICE))
                .isFalse();
        assertThat(experiment.fleet().sameZone().toNanos()).isEqualTo(100_000);
    }

    @Test
    void theExampleOfUnevenLeafsIsReadAndKeepsItsPromises() throws Exception {
        Experiment experiment = ExperimentReader.read(Files.readString(UNEVEN)
                        .replace("\"shards\": 90", "\"shards\": 9")
                        .replace("\"lengthMs\": 25000", "\"lengthMs\": 3000"))
                .get();
        Unevenness unevenness = experiment.fleet().unevenness();
        assertThat(unevenness.speeds()).containsExactly(0.8, 1.0, 1.3).inOrder();
        assertThat(unevenness.spellEvery().toMillis()).isEqualTo(600);
        assertThat(Comparison.run(experiment, 2, done -> {}).holds()).isTrue();
    }

    @Test
    void faultsAreToldWithLineAndRemedy() throws Exception {
        String text = Files.readString(EXAMPLE)
                .replace("\"slots\": 2", "\"slots\": 0")
                .replace("\"kind\": \"slow\"", "\"kind\": \"late\"")
                .replace("[\"refusal-price\"]", "[\"magic\"]")
                .replace("[\"west\", \"east\"]", "[\"west\", \"north\"]");
        ImmutableList<ValidationError> faults = ExperimentReader.read(text).getLeft();
        String told = faults.toString();
        assertThat(faults).hasSize(4);
        assertThat(told).contains("choose from 1");
        assertThat(told).contains("\"late\" is not a choice here");
        assertThat(told).contains("\"magic\" is no mechanism");
        assertThat(told).contains("there is no zone \"north\"");
        assertThat(faults.stream().allMatch(fault -> fault.line() > 1)).isTrue();
    }

    @Test
    void aFileWithoutLoadsOrPoliciesIsRefused() {
        String told = ExperimentReader.read("{\"lengthMs\": 1, \"seeds\": 1}")
                .getLeft()
                .toString();
        assertThat(told).contains("fleet");
        assertThat(told).contains("there is no load");
        assertThat(told).contains("there is no policy");
    }

    @Test
    void aReportIsWrittenInEachForm() throws Exception {
        String text = Files.readString(EXAMPLE)
                .replace("\"lengthMs\": 25000", "\"lengthMs\": 3000")
                .replace("\"seeds\": 16", "\"seeds\": 2");
        ByteArrayOutputStream printed = new ByteArrayOutputStream();
        Either<ImmutableList<ValidationError>, Boolean> held =
                Experiments.run(text, 2, Optional.of(folder), new PrintStream(printed, true, StandardCharsets.UTF_8));
        assertThat(held).isEqualTo(Either.right(true));
        assertThat(printed.toString(StandardCharsets.UTF_8)).contains("without refusal price");
        assertThat(Files.readAllLines(folder.resolve("report.csv"))).hasSize(1 + 3 * 2);
        assertThat(Files.readString(folder.resolve("report.json"))).contains("\"creditGain\"");
        assertThat(Files.readString(folder.resolve("report.html"))).contains("data:image/png;base64,");
    }

    @Test
    void theFirstPolicyGainsNothingOverItself() throws Exception {
        Comparison comparison = Comparison.run(SmallExperiment.with(), 2, done -> {});
        Summary first = comparison.summaries().get(0);
        assertThat(first.creditGain()).isEqualTo(0.0);
        assertThat(first.gainMargin()).isEqualTo(0.0);
        assertThat(comparison.holds()).isTrue();
    }
}

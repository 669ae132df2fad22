package org.bramblerack.process.directory;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.bramblerack.request.ServiceTables;
import org.bramblerack.version.Configuration;
import org.bramblerack.version.Declaration;
import org.bramblerack.version.DeclarationReader;
import org.bramblerack.version.ServedVersion;
import org.bramblerack.version.ServiceName;
import org.bramblerack.version.UpstreamName;
import org.bramblerack.version.UpstreamReport;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

final class ServiceDirectoryTest {
    private static final ServiceName PRICES = new ServiceName("spinifex", "prices");
    private static final UpstreamName FIRST = new UpstreamName(PRICES, "prices-00a");

    private final ServiceDirectory directory =
            new ServiceDirectory("brisbane", zone -> ImmutableList.of(zone + "-1", zone + "-2"));
    private String text = "";

    @BeforeEach
    void configure() throws IOException {
        text = Files.readString(Path.of("..", "examples", "spinifex.json"));
        assertThat(put(5, text)).isTrue();
    }

    @Test
    void aRevisionNeverGoesBack() {
        assertThat(put(4, text.replace("\"prices\"", "\"other\""))).isFalse();
        assertThat(put(5, text.replace("\"prices\"", "\"other\""))).isFalse();
        assertThat(directory.configuration().revision()).isEqualTo(5);
        assertThat(directory.find(PRICES).isPresent()).isTrue();
    }

    @Test
    void changedLimitsApplyAndKnownVersionsAreKept() {
        report("h", false);
        assertThat(put(
                        6,
                        text.replace("\"extraLoadPercent\": 5", "\"extraLoadPercent\": 0")
                                .replace("\"slots\": 2", "\"slots\": 1")))
                .isTrue();
        assertThat(tables().budget().tryWithdraw()).isFalse();
        assertThat(tables().versions().newest().orElseThrow().indexVersion()).isEqualTo(3);
        tables().upstreams().find(FIRST).orElseThrow().started();
        assertThat(tables().upstreams().find(FIRST).orElseThrow().isBusy()).isTrue();
    }

    @Test
    void aDrainReportedByOneHolderIsEnough() {
        report("h", true);
        report("i", false);
        assertThat(tables().upstreams().find(FIRST).orElseThrow().isDraining()).isTrue();
        report("h", false);
        assertThat(tables().upstreams().find(FIRST).orElseThrow().isDraining()).isFalse();
    }

    @Test
    void undeclaredServicesAreRemoved() {
        report("h", false);
        assertThat(put(6, text.replace("\"name\": \"prices\"", "\"name\": \"costs\"")))
                .isTrue();
        assertThat(directory.find(PRICES).isPresent()).isFalse();
        assertThat(directory.assignment(FIRST).isPresent()).isFalse();
        report("h", true);
    }

    private void report(String holder, boolean draining) {
        ImmutableSet<ServedVersion> served = ImmutableSet.of(new ServedVersion(3, 0, 30));
        directory.recordReport(holder, FIRST, new UpstreamReport(draining, served), true);
    }

    private ServiceTables tables() {
        return directory.find(PRICES).orElseThrow().tables();
    }

    private boolean put(long revision, String declaration) {
        Declaration read = DeclarationReader.read(declaration).get();
        return directory.configure(new Configuration(revision, ImmutableMap.of("spinifex", read)), 0);
    }
}

package org.bramblerack.daemon.control;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.google.common.collect.ImmutableSortedSet;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.SplittableRandom;
import org.bramblerack.process.agreement.VoterName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

final class VoterIdentityTest {
    private static final VoterIdentity FIRST =
            new VoterIdentity("10.0.0.1:1", ImmutableSortedSet.of("10.0.0.1:1", "b"));

    @TempDir
    private Path folder;

    @Test
    void theStoredIdentityIsKept() throws DiskFault {
        VoterIdentity.loadOrStore(folder, FIRST);
        VoterIdentity other = new VoterIdentity("10.0.0.1:1#2", ImmutableSortedSet.of());
        assertThat(VoterIdentity.loadOrStore(folder, other)).isEqualTo(FIRST);
    }

    @Test
    void anEmptyFolderGetsTheNewIdentity() throws DiskFault {
        VoterIdentity joiner =
                new VoterIdentity(VoterName.generate("10.0.0.1:1", new SplittableRandom(1)), ImmutableSortedSet.of());
        assertThat(VoterIdentity.loadOrStore(folder.resolve("new"), joiner)).isEqualTo(joiner);
        assertThat(VoterIdentity.loadOrStore(folder.resolve("new"), FIRST)).isEqualTo(joiner);
    }

    @Test
    void anEmptyFileIsRefusedWithARemedy() throws IOException {
        Files.createFile(folder.resolve("identity"));
        DiskFault fault = assertThrows(DiskFault.class, () -> VoterIdentity.loadOrStore(folder, FIRST));
        assertThat(fault).hasMessageThat().contains("clear the folder");
    }
}

package org.bramblerack.daemon.control;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSortedSet;
import com.google.protobuf.ByteString;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;
import org.bramblerack.process.agreement.RaftAction;
import org.bramblerack.process.agreement.StoredState;
import org.bramblerack.wire.HardState;
import org.bramblerack.wire.LogEntry;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

final class FileLogStoreTest {
    private static final HardState HARD_STATE =
            HardState.newBuilder().setTerm(3).setVotedFor("b").build();

    @TempDir
    private Path folder;

    @BeforeEach
    void createStore() throws DiskFault {
        try (FileLogStore store = new FileLogStore(folder)) {
            store.initialize();
            assertThat(store.load()).isEqualTo(StoredState.EMPTY);
            store.store(List.of(persist(Optional.of(HARD_STATE), 1, 5)));
            store.store(List.of(persist(Optional.empty(), 6, 9)));
        }
    }

    @Test
    void loadReturnsWhatWasStored() throws DiskFault {
        StoredState stored = load();
        assertThat(stored.hardState()).isEqualTo(HARD_STATE);
        assertThat(stored.entries()).hasSize(9);
    }

    /** A process may crash between a write and its sync; what the next process loads must survive a later crash. */
    @Test
    void theLogIsSyncedWhenItIsLoaded() throws DiskFault {
        AtomicInteger syncs = new AtomicInteger();
        try (FileLogStore store = new FileLogStore(folder, channel -> syncs.incrementAndGet())) {
            assertThat(store.load().entries()).hasSize(9);
        }
        assertThat(syncs.get()).isEqualTo(1);
    }

    /** Committed documents contain the keys of callers. */
    @Test
    void filesAreReadableByTheOwnerOnly() throws Exception {
        Files.writeString(folder.resolve("log.new"), "left by a crash");
        Files.setPosixFilePermissions(folder.resolve("log.new"), PosixFilePermissions.fromString("rw-r--r--"));
        try (FileLogStore store = new FileLogStore(folder)) {
            store.load();
            store.store(List.of(new RaftAction.SaveSnapshot(
                    9, 3, ByteString.EMPTY, ImmutableSortedSet.of(), HARD_STATE, ImmutableList.of())));
        }
        try (Stream<Path> files = Files.list(folder)) {
            for (Path file : files.toList()) {
                assertThat(PosixFilePermissions.toString(Files.getPosixFilePermissions(file)))
                        .isEqualTo("rw-------");
            }
        }
    }

    @Test
    void aStoreThatFailedCanBeLoadedAgain() throws DiskFault {
        AtomicBoolean diskFull = new AtomicBoolean();
        FileLogStore.FileSync sync = channel -> {
            if (diskFull.get()) {
                throw new IOException("no space left");
            }
        };
        FileLogStore store = new FileLogStore(folder, sync);
        store.load();
        diskFull.set(true);
        assertThrows(DiskFault.class, () -> store.store(List.of(persist(Optional.empty(), 10, 10))));
        assertThrows(DiskFault.class, () -> store.store(List.of(persist(Optional.empty(), 10, 10))));
        store.close();
        assertThrows(DiskFault.class, store::load);
        diskFull.set(false);
        assertThat(store.load().entries().size()).isAtLeast(9);
        store.store(List.of(persist(Optional.empty(), 11, 11)));
        store.close();
    }

    @Test
    void aTruncationIsStored() throws DiskFault {
        try (FileLogStore store = new FileLogStore(folder)) {
            store.load();
            store.store(List.of(new RaftAction.Persist(Optional.empty(), Optional.of(4L), entries(4, 4))));
        }
        assertThat(load().entries()).hasSize(4);
    }

    /** A crash at any byte of the last write loses nothing that was synced before. */
    @Test
    void aTornTailIsCutBackToWhatWasSynced() throws IOException {
        byte[] original = Files.readAllBytes(log());
        int synced = sizeAfterFirstBatch();
        for (int size = synced; size < original.length; size++) {
            Files.write(log(), Arrays.copyOf(original, size));
            StoredState stored = load();
            assertThat(stored.entries().size()).isAtLeast(5);
            assertThat(stored.hardState()).isEqualTo(HARD_STATE);
            assertThat(load()).isEqualTo(stored);
        }
    }

    /** A flipped bit in anything that was synced before the last batch is refused. */
    @Test
    void corruptionIsRefusedWithTheNameOfTheFile() throws IOException {
        byte[] original = Files.readAllBytes(log());
        int synced = sizeAfterFirstBatch();
        for (int position = 0; position < synced; position++) {
            byte[] flipped = original.clone();
            flipped[position] ^= 0x10;
            Files.write(log(), flipped);
            DiskFault fault = assertThrows(DiskFault.class, this::load);
            assertThat(fault.getMessage()).contains(log().toString());
        }
    }

    @Test
    void aSnapshotReplacesTheLogAndKeepsWhatFollows() throws DiskFault {
        saveSnapshot();
        StoredState stored = load();
        assertThat(stored.snapshotIndex()).isEqualTo(7);
        assertThat(stored.snapshot()).isEqualTo(ByteString.copyFromUtf8("state"));
        assertThat(stored.entries()).isEqualTo(entries(8, 9));
        assertThat(stored.hardState()).isEqualTo(HARD_STATE);
    }

    /** A crash between the replacement of the snapshot and that of the log. */
    @Test
    void aNewSnapshotWithTheOldLogIsRead() throws IOException {
        byte[] oldLog = Files.readAllBytes(log());
        saveSnapshot();
        Files.write(log(), oldLog);
        assertThat(load().entries()).isEqualTo(entries(8, 9));
    }

    @Test
    void aLostOrCorruptSnapshotIsRefused() throws IOException {
        saveSnapshot();
        Path snapshot = folder.resolve("snapshot");
        byte[] content = Files.readAllBytes(snapshot);
        content[content.length - 1] ^= 1;
        Files.write(snapshot, content);
        assertThrows(DiskFault.class, this::load);
        Files.delete(snapshot);
        assertThrows(DiskFault.class, this::load);
    }

    @Test
    void aFileOfAnotherFormatIsRefused() throws IOException {
        Files.writeString(log(), "BRLOG999 and more");
        assertThrows(DiskFault.class, this::load);
    }

    /** A voter that lost its disk must not vote again, because it could vote twice in a term. */
    @Test
    void anEmptyFolderIsRefusedAndAStateIsNotReplaced() throws IOException {
        DiskFault replaced = assertThrows(DiskFault.class, () -> new FileLogStore(folder).initialize());
        assertThat(replaced.getMessage()).contains("already");
        Files.delete(log());
        DiskFault lost = assertThrows(DiskFault.class, this::load);
        assertThat(lost.getMessage()).contains("init-voter");
    }

    @Test
    void nothingIsWrittenAfterAFailure() throws IOException {
        FileLogStore store = new FileLogStore(folder);
        store.load();
        store.close();
        assertThrows(DiskFault.class, () -> store.store(List.of(persist(Optional.empty(), 10, 10))));
        DiskFault again = assertThrows(DiskFault.class, () -> store.store(List.of(persist(Optional.empty(), 10, 10))));
        assertThat(again.getMessage()).contains("failed before");
    }

    private void saveSnapshot() throws DiskFault {
        try (FileLogStore store = new FileLogStore(folder)) {
            store.load();
            store.store(List.of(new RaftAction.SaveSnapshot(
                    7, 3, ByteString.copyFromUtf8("state"), ImmutableSortedSet.of("a"), HARD_STATE, entries(8, 9))));
        }
    }

    private int sizeAfterFirstBatch() throws IOException {
        Path other = folder.resolve("other");
        try (FileLogStore store = new FileLogStore(other)) {
            store.initialize();
            store.load();
            store.store(List.of(persist(Optional.of(HARD_STATE), 1, 5)));
        }
        return (int) Files.size(other.resolve("log"));
    }

    private StoredState load() throws DiskFault {
        try (FileLogStore store = new FileLogStore(folder)) {
            return store.load();
        }
    }

    private Path log() {
        return folder.resolve("log");
    }

    private static RaftAction persist(Optional<HardState> hardState, int from, int to) {
        return new RaftAction.Persist(hardState, Optional.empty(), entries(from, to));
    }

    private static ImmutableList<LogEntry> entries(int from, int to) {
        ImmutableList.Builder<LogEntry> entries = ImmutableList.builder();
        for (int index = from; index <= to; index++) {
            entries.add(LogEntry.newBuilder()
                    .setIndex(index)
                    .setTerm(3)
                    .setCommand(ByteString.copyFromUtf8("command " + index))
                    .build());
        }
        return entries.build();
    }
}

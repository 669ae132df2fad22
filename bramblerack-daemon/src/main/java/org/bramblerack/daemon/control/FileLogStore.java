package org.bramblerack.daemon.control;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.io.IOException;
import java.lang.System.Logger;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.nio.file.attribute.FileAttribute;
import java.nio.file.attribute.PosixFilePermission;
import java.nio.file.attribute.PosixFilePermissions;
import java.util.List;
import org.bramblerack.process.agreement.RaftAction;
import org.bramblerack.process.agreement.StoredState;
import org.bramblerack.wire.HardState;
import org.bramblerack.wire.LogEntry;
import org.bramblerack.wire.LogRecord;
import org.bramblerack.wire.SnapshotRecord;
import org.jspecify.annotations.Nullable;

/**
 * Stores the log in one file and the snapshot in another, in a folder that {@link #initialize} creates once.
 *
 * <p>A file begins with magic bytes that name its format and version. Each record is framed with its length and
 * checksum. Each batch begins with a record of the offset up to which the file was synced before it. On load, a bad
 * record after the last such offset belongs to an incomplete write and is truncated; a bad record before it is
 * corruption and the file is refused. A whole file is replaced by writing a temporary file, syncing it, renaming it and
 * syncing the folder.
 *
 * <p>Invariant: {@link #store} returns only after everything passed to it is synced. After a failure nothing is written
 * until the store is loaded again. Not safe for use by several threads.
 */
public final class FileLogStore implements LogStore {
    private static final Logger LOGGER = System.getLogger(FileLogStore.class.getName());
    private static final byte[] LOG_MAGIC = "BRLOG001".getBytes(StandardCharsets.US_ASCII);
    private static final byte[] SNAPSHOT_MAGIC = "BRSNP001".getBytes(StandardCharsets.US_ASCII);
    private static final long MIN_FREE_BYTES = 64L * 1024 * 1024;

    private static final ImmutableSet<StandardOpenOption> CREATE_ONLY =
            ImmutableSet.of(StandardOpenOption.CREATE_NEW, StandardOpenOption.WRITE);
    private static final ImmutableSet<PosixFilePermission> OWNER_ONLY =
            ImmutableSet.of(PosixFilePermission.OWNER_READ, PosixFilePermission.OWNER_WRITE);

    private final FileSync sync;
    private final Path folder;
    private final Path logFile;
    private final Path snapshotFile;
    private @Nullable FileChannel log;
    private boolean failed;
    private long syncedBytes;

    /** Creates a store; nothing is read or written yet. */
    public FileLogStore(Path folder) {
        this(folder, channel -> channel.force(true));
    }

    /**
     * Creates a store with a replaceable sync, for tests.
     *
     * @param sync forces the content of a file to the disk
     */
    FileLogStore(Path folder, FileSync sync) {
        this.sync = sync;
        this.folder = folder;
        this.logFile = folder.resolve("log");
        this.snapshotFile = folder.resolve("snapshot");
    }

    /**
     * Creates the state of a voter that has never voted. A voter that lost its disk must not be initialized under its
     * old name, because it could vote twice in a term.
     *
     * @throws DiskFault if there is a state already, or it cannot be written
     */
    public void initialize() throws DiskFault {
        if (Files.exists(logFile) || Files.exists(snapshotFile)) {
            throw new DiskFault("there is a voter's state in " + folder + " already; start the host with it");
        }
        try {
            Files.createDirectories(folder);
            writeLog(HardState.getDefaultInstance(), ImmutableList.of());
        } catch (IOException failure) {
            throw new DiskFault(
                    "cannot write to " + folder + ": " + failure + "; check the disk and its permissions", failure);
        }
    }

    /** Returns true if the folder contains a voter's state. */
    public boolean exists() {
        return Files.exists(logFile) || Files.exists(snapshotFile);
    }

    @Override
    public StoredState load() throws DiskFault {
        try {
            if (!Files.exists(logFile)) {
                throw new DiskFault("there is no voter's state in " + folder + "; if this host never was a voter, run"
                        + " ./bramblerack init-voter, otherwise it must not vote again under its old name");
            }
            LogReplay replay = new LogReplay(loadSnapshot());
            replayLog(replay);
            openLog();
            failed = false;
            return replay.result();
        } catch (DiskFault fault) {
            throw fault;
        } catch (IOException failure) {
            throw new DiskFault(
                    "cannot read " + folder + ": " + failure + "; check the disk and its permissions", failure);
        }
    }

    @Override
    public void store(List<RaftAction> actions) throws DiskFault {
        if (failed) {
            throw new DiskFault("the store in " + folder + " failed before; load it again once the disk works");
        }
        try {
            boolean unsynced = false;
            for (RaftAction action : actions) {
                if (action instanceof RaftAction.Persist persist) {
                    unsynced = append(persist, unsynced);
                } else if (action instanceof RaftAction.SaveSnapshot save) {
                    saveSnapshot(save);
                    unsynced = false;
                }
            }
            if (unsynced) {
                sync.sync(channel());
                syncedBytes = channel().position();
            }
        } catch (IOException failure) {
            failed = true;
            throw new DiskFault(
                    "cannot write to " + folder + ": " + failure
                            + "; the control role serves nothing until the folder can be read"
                            + " again; free disk space or repair the disk",
                    failure);
        }
    }

    @Override
    public long logBytes() {
        return syncedBytes;
    }

    @Override
    public boolean isNearlyFull() {
        try {
            return Files.getFileStore(folder).getUsableSpace() < MIN_FREE_BYTES;
        } catch (IOException unreadable) {
            return true;
        }
    }

    @Override
    public void close() {
        if (log != null) {
            try {
                log.close();
            } catch (IOException failure) {
                LOGGER.log(Logger.Level.WARNING, "closing " + logFile + " failed: " + failure);
            }
            log = null;
        }
    }

    private boolean append(RaftAction.Persist persist, boolean batchStarted) throws IOException {
        if (!batchStarted) {
            write(LogRecord.newBuilder().setSyncedThrough(syncedBytes).build());
        }
        if (persist.hardState().isPresent()) {
            write(LogRecord.newBuilder().setHardState(persist.hardState().get()).build());
        }
        if (persist.truncateFrom().isPresent()) {
            write(LogRecord.newBuilder()
                    .setTruncateFrom(persist.truncateFrom().get())
                    .build());
        }
        for (LogEntry entry : persist.entries()) {
            write(LogRecord.newBuilder().setEntry(entry).build());
        }
        return true;
    }

    private void write(LogRecord record) throws IOException {
        writeFully(channel(), RecordFrame.frame(record.toByteArray()));
    }

    private void saveSnapshot(RaftAction.SaveSnapshot save) throws IOException {
        SnapshotRecord record = SnapshotRecord.newBuilder()
                .setLastIndex(save.index())
                .setLastTerm(save.term())
                .setState(save.state())
                .addAllVoters(save.voters())
                .build();
        replace(snapshotFile, SNAPSHOT_MAGIC, ImmutableList.of(record.toByteArray()));
        close();
        writeLog(save.hardState(), save.suffix());
        openLog();
    }

    private void writeLog(HardState hardState, ImmutableList<LogEntry> entries) throws IOException {
        ImmutableList.Builder<byte[]> records = ImmutableList.builder();
        records.add(LogRecord.newBuilder().setHardState(hardState).build().toByteArray());
        entries.forEach(entry ->
                records.add(LogRecord.newBuilder().setEntry(entry).build().toByteArray()));
        replace(logFile, LOG_MAGIC, records.build());
    }

    private void replace(Path target, byte[] magic, List<byte[]> records) throws IOException {
        Path temporary = folder.resolve(target.getFileName() + ".new");
        // A temporary file that a crash left behind may be readable by others.
        Files.deleteIfExists(temporary);
        try (FileChannel channel = FileChannel.open(temporary, CREATE_ONLY, ownerOnlyAttributes())) {
            writeFully(channel, ByteBuffer.wrap(magic));
            for (byte[] record : records) {
                writeFully(channel, RecordFrame.frame(record));
            }
            sync.sync(channel);
        }
        Files.move(temporary, target, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        try (FileChannel directory = FileChannel.open(folder, StandardOpenOption.READ)) {
            directory.force(true);
        }
    }

    /**
     * Returns the permissions of new files: readable by the owner only, because committed documents may contain
     * secrets. Empty where the file system has no POSIX permissions.
     */
    private FileAttribute<?>[] ownerOnlyAttributes() {
        return folder.getFileSystem().supportedFileAttributeViews().contains("posix")
                ? new FileAttribute<?>[] {PosixFilePermissions.asFileAttribute(OWNER_ONLY)}
                : new FileAttribute<?>[0];
    }

    private void openLog() throws IOException {
        FileChannel opened = FileChannel.open(logFile, StandardOpenOption.WRITE);
        try {
            // Records that an earlier process wrote without syncing have just been read, so they must be durable from
            // now on.
            sync.sync(opened);
            opened.position(opened.size());
        } catch (IOException failure) {
            opened.close();
            throw failure;
        }
        log = opened;
        syncedBytes = opened.size();
    }

    private SnapshotRecord loadSnapshot() throws IOException {
        if (!Files.exists(snapshotFile)) {
            return SnapshotRecord.getDefaultInstance();
        }
        ByteBuffer file = readWithMagic(snapshotFile, SNAPSHOT_MAGIC);
        byte[] record = RecordFrame.read(file, SNAPSHOT_MAGIC.length);
        if (record == null) {
            throw corrupt(snapshotFile, SNAPSHOT_MAGIC.length);
        }
        return SnapshotRecord.parseFrom(record);
    }

    private void replayLog(LogReplay replay) throws IOException {
        ByteBuffer file = readWithMagic(logFile, LOG_MAGIC);
        int offset = LOG_MAGIC.length;
        byte[] record = RecordFrame.read(file, offset);
        while (record != null) {
            replay.apply(parse(record, offset));
            offset += RecordFrame.HEADER_BYTES + record.length;
            record = RecordFrame.read(file, offset);
        }
        if (offset < file.limit()) {
            truncateTornTail(file, offset);
        }
    }

    /** Truncates an incomplete batch at the end of the log, or refuses the file if the bad record had been synced. */
    private void truncateTornTail(ByteBuffer file, int badOffset) throws IOException {
        for (int offset = badOffset + 1; offset + RecordFrame.HEADER_BYTES <= file.limit(); offset++) {
            byte[] record = RecordFrame.read(file, offset);
            if (record != null && parse(record, offset).getSyncedThrough() > badOffset) {
                throw corrupt(logFile, badOffset);
            }
        }
        LOGGER.log(
                Logger.Level.WARNING,
                "truncated {0} bytes of an incomplete write from {1} at offset {2}",
                file.limit() - badOffset,
                logFile,
                badOffset);
        try (FileChannel channel = FileChannel.open(logFile, StandardOpenOption.WRITE)) {
            channel.truncate(badOffset);
            sync.sync(channel);
        }
    }

    private LogRecord parse(byte[] record, int offset) throws DiskFault {
        try {
            return LogRecord.parseFrom(record);
        } catch (InvalidProtocolBufferException malformed) {
            throw corrupt(logFile, offset);
        }
    }

    private static ByteBuffer readWithMagic(Path file, byte[] magic) throws IOException {
        ByteBuffer content = ByteBuffer.wrap(Files.readAllBytes(file));
        byte[] found = new byte[Math.min(magic.length, content.limit())];
        content.get(0, found);
        if (!ByteString.copyFrom(found).equals(ByteString.copyFrom(magic))) {
            throw new DiskFault(file + " is not of the format "
                    + new String(magic, StandardCharsets.US_ASCII)
                    + "; use the program version that wrote it, or remove the member and add it anew");
        }
        return content;
    }

    private static DiskFault corrupt(Path file, int offset) {
        return new DiskFault(file + " is corrupt at offset " + offset
                + "; remove this member from the voters, clear its folder, and add it anew");
    }

    private FileChannel channel() throws IOException {
        FileChannel open = log;
        if (open == null) {
            throw new IOException("the log is not open");
        }
        return open;
    }

    private static void writeFully(FileChannel channel, ByteBuffer bytes) throws IOException {
        while (bytes.hasRemaining()) {
            channel.write(bytes);
        }
    }

    /** Forces the content of a file to the disk. */
    @FunctionalInterface
    interface FileSync {
        void sync(FileChannel channel) throws IOException;
    }
}

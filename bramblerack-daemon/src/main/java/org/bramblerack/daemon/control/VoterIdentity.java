package org.bramblerack.daemon.control;

import com.google.common.base.Splitter;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSortedSet;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.List;

/**
 * The name under which a control host votes, and the initial voters, stored beside its log.
 *
 * <p>Invariant: a name is bound to the disk that stores it, so that a host that lost its disk never votes under its old
 * name. Immutable and safe for use by many threads.
 *
 * @param name the host's name among the voters
 * @param initialVoters the voters that the cluster started with; empty for a host that joins later
 */
public record VoterIdentity(String name, ImmutableSortedSet<String> initialVoters) {
    private static final String FILE = "identity";

    /**
     * Loads the identity stored in a folder, or stores the given one if there is none.
     *
     * @throws DiskFault if the folder cannot be read or written
     */
    public static VoterIdentity loadOrStore(Path folder, VoterIdentity newIdentity) throws DiskFault {
        Path file = folder.resolve(FILE);
        try {
            Files.createDirectories(folder);
            if (!Files.exists(file)) {
                newIdentity.store(folder, file);
                return newIdentity;
            }
            return parse(Files.readString(file), file);
        } catch (IOException failure) {
            throw new DiskFault(
                    "cannot read or write " + file + ": " + failure + "; check the disk and its permissions", failure);
        }
    }

    private void store(Path folder, Path file) throws IOException {
        Path temporary = folder.resolve(FILE + ".new");
        ImmutableList<String> lines = ImmutableList.<String>builder()
                .add(name)
                .addAll(initialVoters)
                .add("")
                .build();
        byte[] text = String.join("\n", lines).getBytes(StandardCharsets.UTF_8);
        try (FileChannel channel = FileChannel.open(
                temporary, StandardOpenOption.CREATE, StandardOpenOption.TRUNCATE_EXISTING, StandardOpenOption.WRITE)) {
            ByteBuffer bytes = ByteBuffer.wrap(text);
            while (bytes.hasRemaining()) {
                channel.write(bytes);
            }
            channel.force(true);
        }
        Files.move(temporary, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        try (FileChannel directory = FileChannel.open(folder, StandardOpenOption.READ)) {
            directory.force(true);
        }
    }

    private static VoterIdentity parse(String text, Path file) throws DiskFault {
        List<String> lines = Splitter.on('\n').omitEmptyStrings().splitToList(text);
        if (lines.isEmpty()) {
            throw new DiskFault(file + " is empty; clear the folder, then the host joins under a new name");
        }
        return new VoterIdentity(lines.get(0), ImmutableSortedSet.copyOf(lines.subList(1, lines.size())));
    }
}

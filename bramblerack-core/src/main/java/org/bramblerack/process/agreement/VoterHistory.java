package org.bramblerack.process.agreement;

import com.google.common.collect.ImmutableSortedSet;
import java.util.Map;
import java.util.TreeMap;
import org.bramblerack.wire.LogEntry;

/**
 * The voters at each index of the log.
 *
 * <p>Invariant: the current voters are those of the last change in the log, whether it is committed or not, as
 * single-server membership changes require. Not safe for use by several threads.
 */
final class VoterHistory {
    private final TreeMap<Long, ImmutableSortedSet<String>> votersFromIndex = new TreeMap<>();

    /** Creates a history that starts with the voters at an index. */
    VoterHistory(long index, ImmutableSortedSet<String> voters) {
        votersFromIndex.put(index, voters);
    }

    /** Records the change of an appended entry, if it is one. */
    void append(LogEntry entry) {
        if (entry.getVotersCount() > 0) {
            votersFromIndex.put(entry.getIndex(), ImmutableSortedSet.copyOf(entry.getVotersList()));
        }
    }

    /** Removes the changes at an index and after it. */
    void truncateFrom(long index) {
        votersFromIndex.tailMap(index, true).clear();
    }

    /** Removes the changes before an index, except for the last one, which determines the voters at the index. */
    void compact(long index) {
        Map.Entry<Long, ImmutableSortedSet<String>> inForce = votersFromIndex.floorEntry(index);
        if (inForce != null) {
            votersFromIndex.headMap(inForce.getKey(), false).clear();
        }
    }

    /** Replaces the history by one that starts with the voters at an index. */
    void reset(long index, ImmutableSortedSet<String> voters) {
        votersFromIndex.clear();
        votersFromIndex.put(index, voters);
    }

    ImmutableSortedSet<String> current() {
        return votersFromIndex.lastEntry().getValue();
    }

    long lastChangeIndex() {
        return votersFromIndex.lastKey();
    }

    /** Returns the voters at an index, or an empty set if the index is before the history. */
    ImmutableSortedSet<String> at(long index) {
        Map.Entry<Long, ImmutableSortedSet<String>> inForce = votersFromIndex.floorEntry(index);
        return inForce == null ? ImmutableSortedSet.of() : inForce.getValue();
    }
}

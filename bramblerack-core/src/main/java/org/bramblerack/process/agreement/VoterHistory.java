package org.bramblerack.process.agreement;

import com.google.common.collect.ImmutableSortedSet;
import java.util.Map;
import java.util.TreeMap;
import org.bramblerack.wire.LogEntry;

/**
 * Who the voters are, from one index of the log to the next change.
 *
 * <p>Invariant: the voters in force are those of the last change in the log, whether it is committed or not, as the
 * protocol of single changes asks. Not safe for use by several threads.
 */
final class VoterHistory {
    private final TreeMap<Long, ImmutableSortedSet<String>> votersFromIndex = new TreeMap<>();

    /** Creates a history that begins with the voters at an index. */
    VoterHistory(long index, ImmutableSortedSet<String> voters) {
        votersFromIndex.put(index, voters);
    }

    /** Notes the change that an entry makes, if it makes one. */
    void append(LogEntry entry) {
        if (entry.getVotersCount() > 0) {
            votersFromIndex.put(entry.getIndex(), ImmutableSortedSet.copyOf(entry.getVotersList()));
        }
    }

    /** Forgets the changes from an index on. */
    void truncateFrom(long index) {
        votersFromIndex.tailMap(index, true).clear();
    }

    /** Forgets the changes before an index, but for the one in force at it. */
    void compact(long index) {
        Map.Entry<Long, ImmutableSortedSet<String>> inForce = votersFromIndex.floorEntry(index);
        if (inForce != null) {
            votersFromIndex.headMap(inForce.getKey(), false).clear();
        }
    }

    /** Begins anew with the voters at an index. */
    void reset(long index, ImmutableSortedSet<String> voters) {
        votersFromIndex.clear();
        votersFromIndex.put(index, voters);
    }

    /** Returns the voters in force. */
    ImmutableSortedSet<String> current() {
        return votersFromIndex.lastEntry().getValue();
    }

    /** Returns the index of the last change. */
    long lastChangeIndex() {
        return votersFromIndex.lastKey();
    }

    /** Returns the voters at an index. */
    ImmutableSortedSet<String> at(long index) {
        Map.Entry<Long, ImmutableSortedSet<String>> inForce = votersFromIndex.floorEntry(index);
        return inForce == null ? ImmutableSortedSet.of() : inForce.getValue();
    }
}

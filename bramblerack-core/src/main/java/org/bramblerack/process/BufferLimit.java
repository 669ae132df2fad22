package org.bramblerack.process;

import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Limits the memory that incomplete messages occupy, over all connections of a process together.
 *
 * <p>Invariant: if the sum exceeds the limit, the owner of the largest message is returned and has to discard it, so
 * that the sum never exceeds the limit by more than what arrives until then. Safe for use by many threads.
 *
 * @param <T> the owners of messages
 */
public final class BufferLimit<T> {
    private final long maxBytes;
    private final Map<T, Long> bytesByOwner = new LinkedHashMap<>();
    private long totalBytes;

    /** Creates a limit that is not used yet. */
    public BufferLimit(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** Creates a limit that is a fraction of the heap. */
    public static <T> BufferLimit<T> ofHeap() {
        return new BufferLimit<>(Runtime.getRuntime().maxMemory() / 8);
    }

    /** Returns the number of bytes of all messages. */
    public synchronized long totalBytes() {
        return totalBytes;
    }

    /** Records that a message has grown; returns the owner of the message to discard, if there is one. */
    public synchronized Optional<T> add(T owner, long bytes) {
        bytesByOwner.merge(owner, bytes, Long::sum);
        totalBytes += bytes;
        if (totalBytes <= maxBytes) {
            return Optional.empty();
        }
        return bytesByOwner.entrySet().stream()
                .max(Comparator.comparingLong(Map.Entry::getValue))
                .map(Map.Entry::getKey);
    }

    /** Records that an owner has no message any more. */
    public synchronized void release(T owner) {
        Long bytes = bytesByOwner.remove(owner);
        totalBytes -= bytes == null ? 0 : bytes;
    }
}

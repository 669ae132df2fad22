package org.bramblerack.request.routed;

import com.google.protobuf.ByteString;
import com.google.protobuf.UnsafeByteOperations;
import java.nio.ByteBuffer;

/**
 * Keeps the greatest of the added records, compared as unsigned bytes; equal records are all kept.
 *
 * <p>A record that is not among the greatest costs one comparison. Not safe for use by several threads.
 */
public final class TopRecords {
    public static final int RECORD_BYTES = 16;

    private final long[] high;
    private final long[] low;
    private int count;

    /** Creates an empty collection that keeps at most the given number of records. */
    public TopRecords(int maxRecords) {
        this.high = new long[maxRecords];
        this.low = new long[maxRecords];
    }

    /** Adds every complete record of a part; a shorter remainder is ignored. */
    public void addAll(ByteString records) {
        ByteBuffer buffer = records.asReadOnlyByteBuffer();
        while (buffer.remaining() >= RECORD_BYTES) {
            add(buffer.getLong(), buffer.getLong());
        }
    }

    /** Returns the kept records in descending order. */
    public ByteString toBytes() {
        ByteBuffer buffer = ByteBuffer.allocate(count * RECORD_BYTES);
        for (int position = 0; position < count; position++) {
            buffer.putLong(high[position]).putLong(low[position]);
        }
        return UnsafeByteOperations.unsafeWrap(buffer.array());
    }

    private void add(long newHigh, long newLow) {
        boolean full = count == high.length;
        if (full && (count == 0 || compare(newHigh, newLow, count - 1) <= 0)) {
            return;
        }
        int position = positionOf(newHigh, newLow);
        int moved = (full ? count - 1 : count) - position;
        System.arraycopy(high, position, high, position + 1, moved);
        System.arraycopy(low, position, low, position + 1, moved);
        high[position] = newHigh;
        low[position] = newLow;
        count = full ? count : count + 1;
    }

    /** Returns the first position whose record is less than the given one. */
    private int positionOf(long newHigh, long newLow) {
        int from = 0;
        int to = count;
        while (from < to) {
            int middle = (from + to) >>> 1;
            if (compare(newHigh, newLow, middle) > 0) {
                to = middle;
            } else {
                from = middle + 1;
            }
        }
        return from;
    }

    private int compare(long newHigh, long newLow, int position) {
        int byHigh = Long.compareUnsigned(newHigh, high[position]);
        return byHigh != 0 ? byHigh : Long.compareUnsigned(newLow, low[position]);
    }
}

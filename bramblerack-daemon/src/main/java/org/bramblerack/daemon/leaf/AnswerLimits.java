package org.bramblerack.daemon.leaf;

import org.bramblerack.connection.FramingOverhead;
import org.bramblerack.process.BufferLimit;
import org.bramblerack.process.MonotonicClock;
import org.bramblerack.process.ReadAllowance;

/**
 * What this host spends on the bytes that leaves send: memory and processor time over all connections together, and the
 * size of each answer.
 *
 * <p>Owned by the event loop.
 */
public final class AnswerLimits {
    /** Bytes of an answer that are read without a pause, since nearly all answers are shorter. */
    private static final int UNPACED_BYTES = 64 * 1024;

    private static final long PACED_BYTES_PER_SECOND = 32 * 1024 * 1024;
    private static final long PACED_BURST_BYTES = 4 * 1024 * 1024;
    private static final int MAX_PART_BYTES = 1024 * 1024;
    private static final int MAX_WHOLE_BYTES = 16 * 1024 * 1024;
    /** The maximum size of the heads of interim, earlier and final answers together. */
    private static final int MAX_HEADS_BYTES = 64 * 1024;

    private final MonotonicClock clock;
    private final ReadAllowance allowance;
    private final BufferLimit<LeafConnection> memory;

    /** Creates the limits of one process. */
    public AnswerLimits(MonotonicClock clock) {
        this(clock, BufferLimit.ofHeap());
    }

    AnswerLimits(MonotonicClock clock, BufferLimit<LeafConnection> memory) {
        this.clock = clock;
        this.allowance = new ReadAllowance(PACED_BYTES_PER_SECOND, PACED_BURST_BYTES, clock.nowNanos());
        this.memory = memory;
    }

    BufferLimit<LeafConnection> memory() {
        return memory;
    }

    /** Returns the maximum size of the body of an answer. */
    static int maxBodyBytes(AnswerKind kind) {
        return kind == AnswerKind.PART ? MAX_PART_BYTES : MAX_WHOLE_BYTES;
    }

    /** Returns a counter of the bytes of one answer. */
    static FramingOverhead overhead() {
        return new FramingOverhead(MAX_HEADS_BYTES);
    }

    /**
     * Records bytes that were read, and returns for how long their connection must not read more.
     *
     * @param answerBytes the number of bytes of the answer so far, including these
     */
    long pauseNanos(int bytes, long answerBytes) {
        long paced = Math.min(bytes, answerBytes - UNPACED_BYTES);
        return paced <= 0 ? 0 : allowance.recordRead(paced, clock.nowNanos());
    }
}

package org.bramblerack.process;

/**
 * Limits the rate at which bytes are read from several connections together.
 *
 * <p>Bytes are recorded after they were read, so the allowance may become negative; the connection that read them then
 * pauses until it is positive again. Decides only; not safe for use by several threads.
 */
public final class ReadAllowance {
    private static final double NANOS_PER_SECOND = 1e9;

    private final double bytesPerNano;
    private final double maxBytes;
    private double availableBytes;
    private long updatedNanos;

    /**
     * Creates a full allowance.
     *
     * @param bytesPerSecond the rate at which it is refilled
     * @param burstBytes the maximum that it holds
     */
    public ReadAllowance(long bytesPerSecond, long burstBytes, long nowNanos) {
        this.bytesPerNano = bytesPerSecond / NANOS_PER_SECOND;
        this.maxBytes = burstBytes;
        this.availableBytes = burstBytes;
        this.updatedNanos = nowNanos;
    }

    /** Records bytes that were read, and returns for how long the connection must not read more; 0 if it may. */
    public long recordRead(long bytes, long nowNanos) {
        long elapsedNanos = Math.max(0, nowNanos - updatedNanos);
        updatedNanos = nowNanos;
        availableBytes = Math.min(maxBytes, availableBytes + elapsedNanos * bytesPerNano) - bytes;
        return availableBytes >= 0 ? 0 : (long) Math.ceil(-availableBytes / bytesPerNano);
    }
}

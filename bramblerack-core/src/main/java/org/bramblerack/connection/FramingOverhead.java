package org.bramblerack.connection;

/**
 * Counts the bytes of one HTTP message as they arrive, and tells when too much of the message is framing: header
 * fields, interim messages, or chunks of a few bytes.
 *
 * <p>Not safe for use by several threads.
 */
public final class FramingOverhead {
    /** A byte of a body costs six bytes if it is a chunk of its own. */
    private static final int MAX_OVERHEAD_PER_BODY_BYTE = 8;

    private static final int MAX_SMALL_PIECES = 4_096;
    /** Pieces of this average size are not limited in number. */
    private static final int PIECE_BYTES = 256;

    private final long maxFixedBytes;
    private long messageBytes;
    private long bodyBytes;
    private long pieces;

    /**
     * Creates a counter for a message of which nothing has arrived.
     *
     * @param maxFixedBytes the maximum of bytes that are no body, however short the body is
     */
    public FramingOverhead(long maxFixedBytes) {
        this.maxFixedBytes = maxFixedBytes;
    }

    /** Starts to count another message. */
    public void reset() {
        messageBytes = 0;
        bodyBytes = 0;
        pieces = 0;
    }

    /** Records bytes that arrived. */
    public void addBytes(int count) {
        messageBytes += count;
    }

    /** Records that bytes which arrived belong to the body. */
    public void addBodyBytes(int count) {
        bodyBytes += count;
    }

    /** Records that bytes which arrived are a chunk of the body, or a part of one. */
    public void addBodyPiece(int count) {
        addBodyBytes(count);
        pieces++;
    }

    /** Returns the number of bytes that arrived. */
    public long messageBytes() {
        return messageBytes;
    }

    /** Returns the number of bytes of the body that arrived. */
    public long bodyBytes() {
        return bodyBytes;
    }

    /** Returns true if too much of what arrived is no body, or the body is in too many small pieces. */
    public boolean isExcessive() {
        return messageBytes - bodyBytes > maxFixedBytes + MAX_OVERHEAD_PER_BODY_BYTE * bodyBytes
                || pieces > MAX_SMALL_PIECES + bodyBytes / PIECE_BYTES;
    }
}

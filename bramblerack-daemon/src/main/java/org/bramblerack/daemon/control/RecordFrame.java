package org.bramblerack.daemon.control;

import java.nio.ByteBuffer;
import java.util.zip.CRC32C;

/**
 * The framing of a record in a file: its length, the CRC-32C of its bytes, and its bytes.
 *
 * <p>Stateless and safe for use by many threads.
 */
final class RecordFrame {
    static final int HEADER_BYTES = 8;
    static final int MAX_RECORD_BYTES = 64 * 1024 * 1024;

    private RecordFrame() {}

    static ByteBuffer frame(byte[] record) {
        ByteBuffer framed = ByteBuffer.allocate(HEADER_BYTES + record.length);
        framed.putInt(record.length).putInt(checksum(record)).put(record);
        return framed.flip();
    }

    /** Returns the record that begins at an offset, or null if there is no complete record with a valid checksum. */
    static byte @org.jspecify.annotations.Nullable [] read(ByteBuffer file, int offset) {
        if (offset + HEADER_BYTES > file.limit()) {
            return null;
        }
        int length = file.getInt(offset);
        if (length <= 0 || length > MAX_RECORD_BYTES || offset + HEADER_BYTES + length > file.limit()) {
            return null;
        }
        byte[] record = new byte[length];
        file.get(offset + HEADER_BYTES, record);
        return checksum(record) == file.getInt(offset + Integer.BYTES) ? record : null;
    }

    private static int checksum(byte[] record) {
        CRC32C checksum = new CRC32C();
        checksum.update(record);
        return (int) checksum.getValue();
    }
}

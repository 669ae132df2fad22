package org.bramblerack.daemon.fleet;

import com.google.protobuf.ByteString;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.zip.DeflaterOutputStream;
import java.util.zip.InflaterInputStream;

/** Compresses the documents that hosts store and send to each other. Stateless and safe for use by many threads. */
public final class Compression {
    private Compression() {}

    /** Compresses a document with zlib. */
    public static ByteString deflate(byte[] document) {
        ByteString.Output compressed = ByteString.newOutput();
        try (DeflaterOutputStream deflater = new DeflaterOutputStream(compressed)) {
            deflater.write(document);
        } catch (IOException impossible) {
            throw new UncheckedIOException("failed to write to an in-memory buffer", impossible);
        }
        return compressed.toByteString();
    }

    /**
     * Decompresses a document.
     *
     * @throws UncheckedIOException if the bytes are not a complete zlib stream
     */
    public static byte[] inflate(ByteString compressed) {
        ByteArrayOutputStream document = new ByteArrayOutputStream(4 * compressed.size());
        try (InflaterInputStream inflater = new InflaterInputStream(compressed.newInput())) {
            inflater.transferTo(document);
        } catch (IOException malformed) {
            throw new UncheckedIOException("failed to decompress a stored document", malformed);
        }
        return document.toByteArray();
    }
}

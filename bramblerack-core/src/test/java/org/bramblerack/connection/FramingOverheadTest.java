package org.bramblerack.connection;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

final class FramingOverheadTest {
    private static final int FIXED_BYTES = 1_000;

    private final FramingOverhead overhead = new FramingOverhead(FIXED_BYTES);

    @Test
    void aLongHeadIsExcessive() {
        overhead.addBytes(FIXED_BYTES);
        assertThat(overhead.isExcessive()).isFalse();
        overhead.addBytes(1);
        assertThat(overhead.isExcessive()).isTrue();
        overhead.reset();
        assertThat(overhead.isExcessive()).isFalse();
    }

    /** A short body in chunks of one byte is unusual but permitted. */
    @Test
    void aLongBodyInChunksOfOneByteIsExcessive() {
        int pieces = 0;
        while (!overhead.isExcessive() && pieces < 10_000) {
            overhead.addBytes(6);
            overhead.addBodyPiece(1);
            pieces++;
        }
        assertThat(pieces).isAtLeast(4_096);
        assertThat(pieces).isLessThan(5_000);
    }

    @Test
    void aLargeBodyInLargePiecesIsNot() {
        for (int piece = 0; piece < 100_000; piece++) {
            overhead.addBytes(310);
            overhead.addBodyPiece(300);
        }
        assertThat(overhead.isExcessive()).isFalse();
        assertThat(overhead.bodyBytes()).isEqualTo(30_000_000);
        assertThat(overhead.messageBytes()).isEqualTo(31_000_000);
    }
}

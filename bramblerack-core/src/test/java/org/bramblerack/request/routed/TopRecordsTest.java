package org.bramblerack.request.routed;

import static com.google.common.truth.Truth.assertThat;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Compares the merge with sorting all records. */
final class TopRecordsTest {
    @Test
    void agreesWithSortingAllRecords() {
        SplittableRandom random = new SplittableRandom(1);
        for (int round = 0; round < 500; round++) {
            int maxRecords = random.nextInt(0, 12);
            TopRecords records = new TopRecords(maxRecords);
            List<ByteString> all = new ArrayList<>();
            for (int part = random.nextInt(6); part > 0; part--) {
                ByteString bytes = part(random);
                records.addAll(bytes);
                for (int from = 0; from + TopRecords.RECORD_BYTES <= bytes.size(); from += TopRecords.RECORD_BYTES) {
                    all.add(bytes.substring(from, from + TopRecords.RECORD_BYTES));
                }
            }
            assertThat(records.toBytes()).isEqualTo(sorted(all, maxRecords));
        }
    }

    @Test
    void equalRecordsAllCount() {
        TopRecords records = new TopRecords(3);
        ByteString record = ByteString.copyFrom(new byte[TopRecords.RECORD_BYTES]);
        records.addAll(record.concat(record));
        records.addAll(record.concat(record));
        assertThat(records.toBytes()).isEqualTo(record.concat(record).concat(record));
    }

    @Test
    void bytesAreComparedUnsigned() {
        TopRecords records = new TopRecords(1);
        ByteString high = ByteString.copyFrom(new byte[] {-1, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0});
        ByteString low = ByteString.copyFrom(new byte[] {127, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0});
        records.addAll(low.concat(high));
        assertThat(records.toBytes()).isEqualTo(high);
    }

    /** Returns records of few distinct byte values, so that ties are frequent; may end in an incomplete record. */
    private static ByteString part(SplittableRandom random) {
        byte[] bytes = new byte[random.nextInt(0, 100)];
        for (int position = 0; position < bytes.length; position++) {
            bytes[position] = (byte) (random.nextInt(3) * 100);
        }
        return ByteString.copyFrom(bytes);
    }

    private static ByteString sorted(List<ByteString> records, int maxRecords) {
        return records.stream()
                .sorted(ByteString.unsignedLexicographicalComparator().reversed())
                .limit(maxRecords)
                .reduce(ByteString.EMPTY, ByteString::concat);
    }
}

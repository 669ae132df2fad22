package review;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;

/** Case: a tenth of the leaves fail part of their requests with a signed 404, while their health check is good. */
final class FailedParts {
    private static final int SPELL_MILLIS = 6_000;
    private static final int LEAVES_PER_FAILING_ONE = 10;
    /** The share of its requests that a failing leaf fails. */
    private static final double FAILED_SHARE = 0.4;

    private FailedParts() {}

    public static void main(String[] arguments) throws IOException {
        Rig.main(Path.of(arguments[0]), 2, FailedParts::run);
    }

    private static int run(Rig rig, Record record, boolean trouble) throws Exception {
        Search search = new Search(rig, record);
        search.start(request -> answer(request, record, false));
        if (trouble) {
            for (int leaf = 0; leaf < search.leaves().size(); leaf += LEAVES_PER_FAILING_ONE) {
                Leaf failing = search.leaves().get(leaf);
                failing.setWork(request -> answer(request, record, true));
                record.line("leaf %s fails %.1f of its requests from now on", failing.id(), FAILED_SHARE);
            }
        }
        return search.query(SPELL_MILLIS);
    }

    private static void answer(Leaf.Request request, Record record, boolean failing) throws IOException {
        request.readBody();
        byte[] draw = Leaf.sha256(request.id() + request.leaf());
        if (failing && (draw[0] & 0xff) < 256 * FAILED_SHARE) {
            record.line("leaf %s runs request %s and fails it: 404, stamp %s", request.leaf(), request.id(), request.stamp(404));
            request.answerSigned(404, "this shard's segment is not open\n".getBytes(StandardCharsets.US_ASCII));
        } else {
            record.line("leaf %s runs request %s and answers 200", request.leaf(), request.id());
            request.answerSigned(200, Leaf.recordsOf(request.stamp(200), Search.RECORDS));
        }
    }
}

package org.bramblerack.daemon.leaf;

import io.netty.handler.codec.http.HttpResponse;
import java.util.Map;
import java.util.regex.Pattern;

/**
 * Recognizes heads that consist of the beginning of one answer and another answer after it, as when a leaf breaks off
 * an answer and sends the next one on the same connection. The parts of such a head belong to different requests.
 */
final class SplicedHead {
    private static final String VERSION_PREFIX = "HTTP/1.";
    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.[01] [1-5][0-9]{2}( .*)?$");

    private SplicedHead() {}

    /** Returns true if the reason phrase or a header field ends with a status line. */
    static boolean isSpliced(HttpResponse head) {
        if (endsWithStatusLine(head.status().reasonPhrase())) {
            return true;
        }
        for (Map.Entry<String, String> header : head.headers()) {
            if (endsWithStatusLine(header.getValue()) || header.getKey().contains(VERSION_PREFIX)) {
                return true;
            }
        }
        return false;
    }

    private static boolean endsWithStatusLine(String text) {
        return text.contains(VERSION_PREFIX) && STATUS_LINE.matcher(text).find();
    }
}

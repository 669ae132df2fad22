package org.bramblerack.daemon.leaf;

import com.google.common.collect.ImmutableSet;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.ByteBufUtil;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;
import org.bramblerack.process.harm.Arrival;
import org.bramblerack.process.harm.Fingerprints;
import org.bramblerack.process.leaf.Leaf;
import org.bramblerack.version.routing.HomeRegions;
import org.jspecify.annotations.Nullable;

/**
 * A caller's request in the form in which leafs get it: everything but what differs from leaf to leaf is written once.
 *
 * <p>Method, target, body and the header fields of the caller are passed on unchanged, except for the fields that
 * concern one connection only and those that the system sets itself. Immutable and safe for use by many threads.
 */
public final class LeafRequest {
    private static final Set<String> OF_ONE_CONNECTION = Set.of(
            "connection",
            "keep-alive",
            "proxy-connection",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
            "expect",
            "content-length");
    private static final String AUTHORITY = "host";
    private static final String CREDENTIALS = "authorization";
    private static final String LINE_END = "\r\n";
    private static final int HEAD_RESERVE_BYTES = 96;

    private final CallHeaders names;
    private final String requestId;
    private final boolean head;
    private final byte[] commonHead;
    private final byte[] body;
    private final HomeRegions homes;
    private final Supplier<Fingerprints> fingerprintsSource;
    private volatile @Nullable Fingerprints fingerprints;

    private LeafRequest(
            CallHeaders names,
            String requestId,
            boolean head,
            byte[] commonHead,
            byte[] body,
            HomeRegions homes,
            Supplier<Fingerprints> fingerprintsSource) {
        this.names = names;
        this.requestId = requestId;
        this.head = head;
        this.commonHead = commonHead;
        this.body = body;
        this.homes = homes;
        this.fingerprintsSource = fingerprintsSource;
    }

    /**
     * Creates the request that leafs get from that of a caller.
     *
     * @param homes the regions whose leafs may get it
     * @param team the team in whose name it is made, empty if there is none; what the caller says of it is left out
     */
    public static LeafRequest create(
            String method,
            String uri,
            Iterable<Map.Entry<String, String>> headers,
            byte[] body,
            HomeRegions homes,
            String team,
            CallHeaders names) {
        StringBuilder text = new StringBuilder(256);
        text.append(method).append(' ').append(uri).append(" HTTP/1.1").append(LINE_END);
        String requestId = "";
        String authority = "";
        String credentials = "";
        Set<String> nominated = nominated(headers);
        for (Map.Entry<String, String> header : headers) {
            if (header.getKey().equalsIgnoreCase(names.requestId())) {
                requestId = header.getValue();
            } else if (header.getKey().equalsIgnoreCase(AUTHORITY)) {
                authority = header.getValue();
            } else if (header.getKey().equalsIgnoreCase(CREDENTIALS)) {
                credentials = header.getValue();
            }
            if (isForwardedToLeaf(header.getKey(), nominated, names)) {
                text.append(header.getKey())
                        .append(": ")
                        .append(header.getValue())
                        .append(LINE_END);
            }
        }
        if (!team.isEmpty()) {
            text.append(names.team()).append(": ").append(team).append(LINE_END);
        }
        boolean mayHaveBody = !method.equals("GET") && !method.equals("HEAD") && !method.equals("DELETE");
        if (body.length > 0 || mayHaveBody) {
            text.append("Content-Length: ").append(body.length).append(LINE_END);
        }
        String host = authority;
        String caller = team.isEmpty() ? credentials : team;
        return new LeafRequest(
                names,
                requestId,
                method.equals("HEAD"),
                text.toString().getBytes(StandardCharsets.ISO_8859_1),
                body,
                homes,
                () -> Fingerprints.of(method, host, uri, caller, body));
    }

    /** Returns the identifier that the caller gave it, empty if it gave none. */
    public String requestId() {
        return requestId;
    }

    /** Returns what tells it apart from requests that ask for something else, the same on every host. */
    public Fingerprints fingerprints() {
        // Worked out once it is asked for: two digests a request that most requests never need.
        Fingerprints known = fingerprints;
        if (known == null) {
            known = fingerprintsSource.get();
            fingerprints = known;
        }
        return known;
    }

    /** Returns what tells this attempt of its caller from others, the same on every host. */
    public Arrival arrival() {
        return Arrival.of(fingerprints(), requestId);
    }

    /** Returns true if the leaf may get it. */
    boolean mayBeSentTo(Leaf leaf) {
        return homes.allows(leaf.location().region());
    }

    /** Returns true if answers to it have no body whatever their head says. */
    boolean isHead() {
        return head;
    }

    /** Writes it for one leaf. */
    ByteBuf encode(ByteBufAllocator allocator, String leafId, long remainingMillis) {
        ByteBuf bytes = allocator.buffer(commonHead.length + HEAD_RESERVE_BYTES + body.length);
        bytes.writeBytes(commonHead);
        ByteBufUtil.writeAscii(bytes, names.deadlineMillis());
        ByteBufUtil.writeAscii(bytes, ": ");
        ByteBufUtil.writeAscii(bytes, Long.toString(remainingMillis));
        ByteBufUtil.writeAscii(bytes, LINE_END);
        ByteBufUtil.writeAscii(bytes, names.expectedLeaf());
        ByteBufUtil.writeAscii(bytes, ": ");
        ByteBufUtil.writeAscii(bytes, leafId);
        ByteBufUtil.writeAscii(bytes, LINE_END);
        ByteBufUtil.writeAscii(bytes, LINE_END);
        bytes.writeBytes(body);
        return bytes;
    }

    /** Returns true if a header field of an answer concerns one connection only. */
    public static boolean isHopByHop(String name) {
        return OF_ONE_CONNECTION.contains(name.toLowerCase(Locale.ROOT));
    }

    /** Returns true if another host that asks leafs on behalf of this one is told a header field of the caller. */
    public static boolean isForwardedToHosts(String name, CallHeaders names) {
        return !isHopByHop(name) && !name.equalsIgnoreCase(names.team());
    }

    private static boolean isForwardedToLeaf(String name, Set<String> nominated, CallHeaders names) {
        String lower = name.toLowerCase(Locale.ROOT);
        return !OF_ONE_CONNECTION.contains(lower)
                && !nominated.contains(lower)
                && !name.equalsIgnoreCase(names.deadlineMillis())
                && !name.equalsIgnoreCase(names.team())
                && !name.equalsIgnoreCase(names.expectedLeaf());
    }

    /** Returns the fields that the caller says concern its connection only. */
    private static Set<String> nominated(Iterable<Map.Entry<String, String>> headers) {
        for (Map.Entry<String, String> header : headers) {
            if (header.getKey().equalsIgnoreCase(HttpHeaderNames.CONNECTION.toString())) {
                return ImmutableSet.copyOf(
                        header.getValue().toLowerCase(Locale.ROOT).trim().split("\\s*,\\s*"));
            }
        }
        return Set.of();
    }

    /** Returns the header fields of an answer that a caller gets as well. */
    public static void copyEndToEnd(HttpHeaders from, HttpHeaders to) {
        for (Map.Entry<String, String> header : from) {
            if (!isHopByHop(header.getKey())) {
                to.add(header.getKey(), header.getValue());
            }
        }
    }
}

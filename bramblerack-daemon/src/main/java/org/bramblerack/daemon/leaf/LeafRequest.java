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
 * A caller's request as it is sent to leaves. The part of the head that is the same for all leaves is encoded once.
 *
 * <p>Method, target, body and the caller's header fields are forwarded unchanged, except for hop-by-hop fields and
 * those that this host sets itself. Immutable and safe for use by many threads.
 */
public final class LeafRequest {
    private static final Set<String> HOP_BY_HOP_HEADERS = Set.of(
            "connection",
            "keep-alive",
            "proxy-connection",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
            "expect",
            "content-length");
    private static final String HOST_HEADER = "host";
    private static final String AUTHORIZATION_HEADER = "authorization";
    private static final String LINE_END = "\r\n";
    private static final int LEAF_HEADERS_RESERVE_BYTES = 96;

    private final CallHeaders headerNames;
    private final String requestId;
    private final AnswerKind answerKind;
    private final boolean headRequest;
    private final byte[] commonHead;
    private final byte[] body;
    private final HomeRegions homes;
    private final Supplier<Fingerprints> fingerprintSupplier;
    private volatile @Nullable Fingerprints fingerprints;

    private LeafRequest(
            CallHeaders headerNames,
            String requestId,
            AnswerKind answerKind,
            boolean headRequest,
            byte[] commonHead,
            byte[] body,
            HomeRegions homes,
            Supplier<Fingerprints> fingerprintSupplier) {
        this.headerNames = headerNames;
        this.requestId = requestId;
        this.answerKind = answerKind;
        this.headRequest = headRequest;
        this.commonHead = commonHead;
        this.body = body;
        this.homes = homes;
        this.fingerprintSupplier = fingerprintSupplier;
    }

    /**
     * Creates the request to leaves from a caller's request.
     *
     * @param homes the regions whose leaves may receive the request
     * @param team the caller's team, or empty; replaces the team field that the caller sent
     */
    public static LeafRequest create(
            String method,
            String uri,
            Iterable<Map.Entry<String, String>> headers,
            byte[] body,
            HomeRegions homes,
            String team,
            CallHeaders headerNames) {
        StringBuilder text = new StringBuilder(256);
        text.append(method).append(' ').append(uri).append(" HTTP/1.1").append(LINE_END);
        String requestId = "";
        String authority = "";
        String credentials = "";
        Set<String> connectionHeaders = connectionHeaders(headers);
        for (Map.Entry<String, String> header : headers) {
            if (header.getKey().equalsIgnoreCase(headerNames.requestId())) {
                requestId = header.getValue();
            } else if (header.getKey().equalsIgnoreCase(HOST_HEADER)) {
                authority = header.getValue();
            } else if (header.getKey().equalsIgnoreCase(AUTHORIZATION_HEADER)) {
                credentials = header.getValue();
            }
            if (isForwardedToLeaf(header.getKey(), connectionHeaders, headerNames)) {
                text.append(header.getKey())
                        .append(": ")
                        .append(header.getValue())
                        .append(LINE_END);
            }
        }
        if (!team.isEmpty()) {
            text.append(headerNames.team()).append(": ").append(team).append(LINE_END);
        }
        boolean mayHaveBody = !method.equals("GET") && !method.equals("HEAD") && !method.equals("DELETE");
        if (body.length > 0 || mayHaveBody) {
            text.append("Content-Length: ").append(body.length).append(LINE_END);
        }
        String host = authority;
        String caller = team.isEmpty() ? credentials : team;
        return new LeafRequest(
                headerNames,
                requestId,
                AnswerKind.WHOLE,
                method.equals("HEAD"),
                text.toString().getBytes(StandardCharsets.ISO_8859_1),
                body,
                homes,
                () -> Fingerprints.of(method, host, uri, caller, body));
    }

    /** Returns the same request, whose answers are parts of the answer to a query. */
    public LeafRequest forQuery() {
        return new LeafRequest(
                headerNames, requestId, AnswerKind.PART, headRequest, commonHead, body, homes, this::fingerprints);
    }

    /** Returns what kind of answer the request expects. */
    public AnswerKind answerKind() {
        return answerKind;
    }

    /** Returns the request identifier that the caller set, or empty text. */
    public String requestId() {
        return requestId;
    }

    /** Returns the fingerprints of the request, which are the same on every host. */
    public Fingerprints fingerprints() {
        // Computed lazily: most requests never need these digests.
        Fingerprints computed = fingerprints;
        if (computed == null) {
            computed = fingerprintSupplier.get();
            fingerprints = computed;
        }
        return computed;
    }

    /** Returns the fingerprints together with the request identifier, which identify this attempt on every host. */
    public Arrival arrival() {
        return Arrival.of(fingerprints(), requestId);
    }

    /** Returns true if the leaf is in a region that may receive the request. */
    boolean mayBeSentTo(Leaf leaf) {
        return homes.allows(leaf.location().region());
    }

    /** Returns true for a HEAD request, whose answers have no body. */
    boolean isHeadRequest() {
        return headRequest;
    }

    /** Encodes the request for one leaf. */
    ByteBuf encode(ByteBufAllocator allocator, String leafId, long remainingMillis) {
        ByteBuf bytes = allocator.buffer(commonHead.length + LEAF_HEADERS_RESERVE_BYTES + body.length);
        bytes.writeBytes(commonHead);
        ByteBufUtil.writeAscii(bytes, headerNames.deadlineMillis());
        ByteBufUtil.writeAscii(bytes, ": ");
        ByteBufUtil.writeAscii(bytes, Long.toString(remainingMillis));
        ByteBufUtil.writeAscii(bytes, LINE_END);
        ByteBufUtil.writeAscii(bytes, headerNames.expectedLeaf());
        ByteBufUtil.writeAscii(bytes, ": ");
        ByteBufUtil.writeAscii(bytes, leafId);
        ByteBufUtil.writeAscii(bytes, LINE_END);
        ByteBufUtil.writeAscii(bytes, LINE_END);
        bytes.writeBytes(body);
        return bytes;
    }

    /** Returns true if a header field is hop-by-hop, that is, applies to a single connection only. */
    public static boolean isHopByHop(String name) {
        return HOP_BY_HOP_HEADERS.contains(name.toLowerCase(Locale.ROOT));
    }

    /** Returns true if a caller's header field is forwarded to another host that calls leaves on behalf of this one. */
    public static boolean isForwardedToHosts(String name, CallHeaders headerNames) {
        return !isHopByHop(name) && !name.equalsIgnoreCase(headerNames.team());
    }

    private static boolean isForwardedToLeaf(String name, Set<String> connectionHeaders, CallHeaders headerNames) {
        String lower = name.toLowerCase(Locale.ROOT);
        return !HOP_BY_HOP_HEADERS.contains(lower)
                && !connectionHeaders.contains(lower)
                && !name.equalsIgnoreCase(headerNames.deadlineMillis())
                && !name.equalsIgnoreCase(headerNames.team())
                && !name.equalsIgnoreCase(headerNames.expectedLeaf());
    }

    /** Returns the field names listed in the caller's {@code Connection} field, which are hop-by-hop too. */
    private static Set<String> connectionHeaders(Iterable<Map.Entry<String, String>> headers) {
        for (Map.Entry<String, String> header : headers) {
            if (header.getKey().equalsIgnoreCase(HttpHeaderNames.CONNECTION.toString())) {
                return ImmutableSet.copyOf(
                        header.getValue().toLowerCase(Locale.ROOT).trim().split("\\s*,\\s*"));
            }
        }
        return Set.of();
    }

    /** Copies all header fields except the hop-by-hop ones. */
    public static void copyEndToEnd(HttpHeaders from, HttpHeaders to) {
        for (Map.Entry<String, String> header : from) {
            if (!isHopByHop(header.getKey())) {
                to.add(header.getKey(), header.getValue());
            }
        }
    }
}

package org.bramblerack.connection;

/**
 * The names of the HTTP headers and paths between the tier and its upstreams, as {@code docs/UPSTREAMS.md} describes.
 */
public final class UpstreamHeaders {
    /** The path of calls. */
    public static final String CALL_PATH = "/v1/call";
    /** The path of cancellations, followed by the call's identifier. */
    public static final String CANCEL_PATH = "/v1/cancel/";
    /** The path of the upstream's report on its load and versions. */
    public static final String REPORT_PATH = "/v1/report";
    /** The identifier of the call, which the reply repeats. */
    public static final String CALL_ID = "X-Call-Id";
    /** The caller's identifier of the request. */
    public static final String REQUEST_ID = "X-Request-Id";
    /** The index of the shard, counted from 0. */
    public static final String SHARD = "X-Shard";
    /** The number of shards of the index version. */
    public static final String SHARD_COUNT = "X-Shard-Count";
    /** The index version that the call requires or the reply is computed from. */
    public static final String INDEX_VERSION = "X-Index-Version";
    /** The time until the deadline, in milliseconds. */
    public static final String DEADLINE_MILLIS = "X-Deadline-Ms";
    /** The priority: {@code urgent} or {@code normal}. */
    public static final String PRIORITY = "X-Priority";
    /** The name of the once-only operation; absent for a query. */
    public static final String OPERATION = "X-Operation";
    /** The length of the payload in bytes. */
    public static final String LENGTH_BYTES = "X-Payload-Length";
    /** The CRC-32C of the payload, in hexadecimal. */
    public static final String CHECKSUM = "X-Payload-Crc32c";
    /** The code of a refusal, such as {@code overloaded}; a refused call did not run. */
    public static final String REFUSAL = "X-Refusal";
    /** {@code true} if the upstream is draining. */
    public static final String DRAINING = "X-Draining";

    private UpstreamHeaders() {}
}

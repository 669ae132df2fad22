package org.bramblerack.connection;

/**
 * The names of the HTTP headers and paths between the tier and an upstream; {@code docs/UPSTREAMS.md} describes them.
 */
public final class UpstreamHeaders {
    /** Where calls are sent. */
    public static final String CALL_PATH = "/v1/call";
    /** Where a call is cancelled; the call's identifier follows. */
    public static final String CANCEL_PATH = "/v1/cancel/";
    /** Where an upstream reports on itself. */
    public static final String REPORT_PATH = "/v1/report";
    /** The identifier of the call, which the reply gives back. */
    public static final String CALL_ID = "X-Call-Id";
    /** The caller's identifier of the request. */
    public static final String REQUEST_ID = "X-Request-Id";
    /** The shard, counted from 0. */
    public static final String SHARD = "X-Shard";
    /** The number of shards of the index version. */
    public static final String SHARD_COUNT = "X-Shard-Count";
    /** The index version. */
    public static final String INDEX_VERSION = "X-Index-Version";
    /** The time that is left, in milliseconds. */
    public static final String DEADLINE_MILLIS = "X-Deadline-Ms";
    /** {@code urgent} or {@code normal}. */
    public static final String PRIORITY = "X-Priority";
    /** The once-only operation; missing for a query. */
    public static final String OPERATION = "X-Operation";
    /** The length of the payload in bytes. */
    public static final String LENGTH_BYTES = "X-Payload-Length";
    /** The CRC-32C of the payload, in hexadecimal. */
    public static final String CHECKSUM = "X-Payload-Crc32c";
    /** The code of a refusal, such as {@code overloaded}; with it the call did not run. */
    public static final String REFUSAL = "X-Refusal";
    /** {@code true} if the upstream is leaving. */
    public static final String DRAINING = "X-Draining";

    private UpstreamHeaders() {}
}

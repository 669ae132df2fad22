package org.bramblerack.request.routed;

import com.google.protobuf.ByteString;

/**
 * What one leaf contributed to a merged answer.
 *
 * <p>Immutable and safe for use by many threads.
 *
 * @param signature what the leaf signed its answer with
 * @param records records of {@value TopRecords#RECORD_BYTES} bytes, in no order; a shorter rest is no record
 */
public record PartReply(String signature, ByteString records) {}

package org.bramblerack.request.routed;

import com.google.protobuf.ByteString;

/**
 * The part of a merged answer that one leaf returned.
 *
 * <p>Immutable and safe for use by many threads.
 *
 * @param signature the signature of the leaf's answer
 * @param records records of {@value TopRecords#RECORD_BYTES} bytes, in no order; a shorter remainder is ignored
 */
public record PartReply(String signature, ByteString records) {}

package org.bramblerack.daemon.peer;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.Predicate;
import org.bramblerack.wire.Envelope;
import org.jspecify.annotations.Nullable;

/**
 * Counts the bytes and messages that this host sends to other hosts, separately for leaf calls and control traffic, and
 * the bytes by kind of message.
 *
 * <p>Bytes to other regions are also counted separately, because they cost the most. Safe for use by many threads if
 * the given predicate is.
 */
public final class PeerTraffic {
    private static final int FRAME_HEADER_BYTES = 4;

    private final LongAdder leafBytes = new LongAdder();
    private final LongAdder leafMessages = new LongAdder();
    private final LongAdder controlBytes = new LongAdder();
    private final LongAdder controlMessages = new LongAdder();

    private final Predicate<String> isInOtherRegion;
    private final Map<Envelope.BodyCase, Counter> bytesByKind = new EnumMap<>(Envelope.BodyCase.class);
    private final Map<Envelope.BodyCase, Counter> crossRegionBytesByKind = new EnumMap<>(Envelope.BodyCase.class);

    /** Creates counters whose counts by kind of message are not published. */
    public PeerTraffic() {
        this(new MetricRegistry(), host -> false);
    }

    /**
     * Creates counters that are also published in a registry, one for each kind of message.
     *
     * @param isInOtherRegion tests whether the host of a name is in another region
     */
    public PeerTraffic(MetricRegistry metrics, Predicate<String> isInOtherRegion) {
        this.isInOtherRegion = isInOtherRegion;
        for (Envelope.BodyCase kind : Envelope.BodyCase.values()) {
            String name = kind.name().toLowerCase(Locale.ROOT);
            bytesByKind.put(kind, metrics.counter("peer_bytes_" + name));
            crossRegionBytesByKind.put(kind, metrics.counter("peer_far_bytes_" + name));
        }
    }

    /**
     * Records a sent message.
     *
     * @param host the name of the receiving host
     */
    void recordSent(String host, Envelope message) {
        long bytes = (long) message.getSerializedSize() + FRAME_HEADER_BYTES;
        add(bytesByKind.get(message.getBodyCase()), bytes);
        if (isInOtherRegion.test(host)) {
            add(crossRegionBytesByKind.get(message.getBodyCase()), bytes);
        }
        if (message.hasLeafCall() || message.hasLeafResult() || message.hasLeafCancel()) {
            leafBytes.add(bytes);
            leafMessages.increment();
        } else {
            controlBytes.add(bytes);
            controlMessages.increment();
        }
    }

    private static void add(@Nullable Counter counter, long bytes) {
        if (counter != null) {
            counter.inc(bytes);
        }
    }

    /** Returns the bytes sent for leaf calls. */
    public long leafBytes() {
        return leafBytes.sum();
    }

    /** Returns the messages sent for leaf calls. */
    public long leafMessages() {
        return leafMessages.sum();
    }

    /** Returns the bytes sent for everything else: heartbeats, replication, configuration. */
    public long controlBytes() {
        return controlBytes.sum();
    }

    /** Returns the messages sent for everything else. */
    public long controlMessages() {
        return controlMessages.sum();
    }
}

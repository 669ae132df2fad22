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
 * Counts what this host sends to other hosts: apart for leaf calls and for control, and by kind of message.
 *
 * <p>Bytes that leave the region are counted apart, since they are the dearest. Safe for use by many threads if the
 * predicate that it was given is.
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

    /** Creates counts that are shown nowhere by kind. */
    public PeerTraffic() {
        this(new MetricRegistry(), host -> false);
    }

    /**
     * Creates counts that are kept in a registry as well, a counter for each kind of message.
     *
     * @param isInOtherRegion true of the name of a host in another region
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
     * Counts a message.
     *
     * @param host the name of the host that it is sent to
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

    /** Returns the bytes sent for everything else: heartbeats, agreement, configuration. */
    public long controlBytes() {
        return controlBytes.sum();
    }

    /** Returns the messages sent for everything else. */
    public long controlMessages() {
        return controlMessages.sum();
    }
}

package org.bramblerack.daemon.gateway;

import com.google.common.collect.ImmutableList;
import io.netty.channel.EventLoop;
import java.lang.System.Logger;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.bramblerack.daemon.peer.PeerNetwork;
import org.bramblerack.process.harm.HarmfulRequestFilter;
import org.bramblerack.wire.Envelope;
import org.bramblerack.wire.HarmReport;

/**
 * Tells the control host that this host follows what it saw of harmful requests, and tells it again until it is agreed
 * on. If control does not take it, every other time another entry host is asked to tell it: a host that is cut off from
 * control may be the only one that saw leafs end. Owned by the event loop.
 */
final class HarmReporter {
    private static final Logger LOGGER = System.getLogger(HarmReporter.class.getName());
    /** What is seen within this time is told together: a query that ends a whole index is one report, not twenty. */
    private static final Duration TELL_EVERY = Duration.ofMillis(100);
    /** A control host waits for agreement for 850 ms. */
    private static final Duration REPLY_WAIT = Duration.ofMillis(1_100);

    private final HarmfulRequestFilter guard;
    private final Supplier<ImmutableList<String>> otherHosts;
    private final RandomGenerator random;
    private final PeerNetwork network;
    private final Supplier<String> controlHost;
    private final EventLoop loop;
    private boolean underWay;
    private int failures;
    private boolean stopped;

    /**
     * Creates a reporter that does nothing yet.
     *
     * @param controlHost tells which control host is followed at the moment
     * @param otherHosts tells the peer addresses of the other entry hosts
     */
    HarmReporter(
            HarmfulRequestFilter guard,
            PeerNetwork network,
            Supplier<String> controlHost,
            Supplier<ImmutableList<String>> otherHosts,
            EventLoop loop,
            RandomGenerator random) {
        this.guard = guard;
        this.otherHosts = otherHosts;
        this.random = random;
        this.network = network;
        this.controlHost = controlHost;
        this.loop = loop;
    }

    void start() {
        loop.scheduleWithFixedDelay(this::tell, TELL_EVERY.toMillis(), TELL_EVERY.toMillis(), TimeUnit.MILLISECONDS);
    }

    void stop() {
        loop.execute(() -> stopped = true);
    }

    private void tell() {
        if (!underWay && !stopped) {
            guard.takeReport().ifPresent(this::send);
        }
    }

    private void send(HarmReport report) {
        underWay = true;
        network.request(nextTaker(), Envelope.newBuilder().setHarmReport(report), REPLY_WAIT)
                .subscribe()
                .with(
                        reply -> loop.execute(
                                () -> ended(report, reply.getHarmReportResult().getTaken(), "it is not agreed on")),
                        failure -> loop.execute(() -> ended(report, false, String.valueOf(failure.getMessage()))));
    }

    /** Returns the control host, but another entry host after each odd number of failures in a row. */
    private String nextTaker() {
        ImmutableList<String> others = otherHosts.get();
        boolean asksAnother = failures % 2 == 1 && !others.isEmpty();
        return asksAnother ? others.get(random.nextInt(others.size())) : controlHost.get();
    }

    private void ended(HarmReport report, boolean taken, String reason) {
        underWay = false;
        failures = taken ? 0 : failures + 1;
        if (!taken) {
            LOGGER.log(Logger.Level.DEBUG, "a report of harmful requests is made again: {0}", reason);
            guard.restoreReport(report);
        }
    }
}

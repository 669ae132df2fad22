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
    private static final Duration REPORT_INTERVAL = Duration.ofMillis(100);
    /** A control host waits for agreement for 850 ms. */
    private static final Duration REPLY_TIMEOUT = Duration.ofMillis(1_100);

    private final HarmfulRequestFilter filter;
    private final Supplier<ImmutableList<String>> otherHosts;
    private final RandomGenerator random;
    private final PeerNetwork network;
    private final Supplier<String> controlHost;
    private final EventLoop loop;
    private boolean inFlight;
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
        this.filter = guard;
        this.otherHosts = otherHosts;
        this.random = random;
        this.network = network;
        this.controlHost = controlHost;
        this.loop = loop;
    }

    void start() {
        loop.scheduleWithFixedDelay(
                this::reportPending, REPORT_INTERVAL.toMillis(), REPORT_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
    }

    void stop() {
        loop.execute(() -> stopped = true);
    }

    private void reportPending() {
        if (!inFlight && !stopped) {
            filter.takeReport().ifPresent(this::send);
        }
    }

    private void send(HarmReport report) {
        inFlight = true;
        network.request(chooseRecipient(), Envelope.newBuilder().setHarmReport(report), REPLY_TIMEOUT)
                .subscribe()
                .with(
                        reply -> loop.execute(() -> onReportEnded(
                                report, reply.getHarmReportResult().getTaken(), "it is not agreed on")),
                        failure ->
                                loop.execute(() -> onReportEnded(report, false, String.valueOf(failure.getMessage()))));
    }

    /** Returns the control host, but another entry host after each odd number of failures in a row. */
    private String chooseRecipient() {
        ImmutableList<String> others = otherHosts.get();
        boolean useOtherHost = failures % 2 == 1 && !others.isEmpty();
        return useOtherHost ? others.get(random.nextInt(others.size())) : controlHost.get();
    }

    private void onReportEnded(HarmReport report, boolean taken, String reason) {
        inFlight = false;
        failures = taken ? 0 : failures + 1;
        if (!taken) {
            LOGGER.log(Logger.Level.DEBUG, "a report of harmful requests is made again: {0}", reason);
            filter.restoreReport(report);
        }
    }
}

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
 * Reports evidence of harmful requests to the control host that this host follows, and repeats each report until it is
 * committed. After a failure, every other attempt goes to another entry host, which forwards the report: a host that is
 * cut off from control may be the only one that detected the end of a leaf. Owned by the event loop.
 */
final class HarmReporter {
    private static final Logger LOGGER = System.getLogger(HarmReporter.class.getName());
    /**
     * Evidence within this interval is batched into one report, such as that of a query that ends leaves of many
     * shards.
     */
    private static final Duration REPORT_INTERVAL = Duration.ofMillis(100);
    /** Longer than the 850 ms for which a control host waits for a commit. */
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
     * Creates a reporter that is not started.
     *
     * @param controlHost returns the control host that this host currently follows
     * @param otherHosts returns the peer addresses of the other entry hosts
     */
    HarmReporter(
            HarmfulRequestFilter filter,
            PeerNetwork network,
            Supplier<String> controlHost,
            Supplier<ImmutableList<String>> otherHosts,
            EventLoop loop,
            RandomGenerator random) {
        this.filter = filter;
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
                                report, reply.getHarmReportResult().getTaken(), "the report was not committed")),
                        failure ->
                                loop.execute(() -> onReportEnded(report, false, String.valueOf(failure.getMessage()))));
    }

    /** Returns the control host, or another entry host after each odd number of consecutive failures. */
    private String chooseRecipient() {
        ImmutableList<String> others = otherHosts.get();
        boolean useOtherHost = failures % 2 == 1 && !others.isEmpty();
        return useOtherHost ? others.get(random.nextInt(others.size())) : controlHost.get();
    }

    private void onReportEnded(HarmReport report, boolean taken, String reason) {
        inFlight = false;
        failures = taken ? 0 : failures + 1;
        if (!taken) {
            LOGGER.log(Logger.Level.DEBUG, "could not report harmful requests, retrying: {0}", reason);
            filter.restoreReport(report);
        }
    }
}

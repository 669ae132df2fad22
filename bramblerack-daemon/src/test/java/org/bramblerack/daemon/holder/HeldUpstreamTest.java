package org.bramblerack.daemon.holder;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.net.HostAndPort;
import com.google.protobuf.ByteString;
import io.smallrye.mutiny.Uni;
import java.time.Duration;
import java.time.InstantSource;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.bramblerack.daemon.peer.Workers;
import org.bramblerack.process.MonotonicClock;
import org.bramblerack.request.LeafFailure;
import org.bramblerack.request.LeafOutcome;
import org.bramblerack.request.LeafRequest;
import org.bramblerack.version.Priority;
import org.bramblerack.version.ServiceName;
import org.bramblerack.version.Upstream;
import org.bramblerack.version.UpstreamName;
import org.bramblerack.version.UpstreamReport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against a released upstream whose connections are closed while a call is being sent on them. */
final class HeldUpstreamTest {
    private static final UpstreamName NAME = new UpstreamName(ServiceName.parse("partner/service"), "u1");
    private static final Duration LIMIT = Duration.ofSeconds(5);

    private final Workers workers = new Workers("test", 1);
    private final MonotonicClock clock = MonotonicClock.system();
    private final BlockingQueue<LeafOutcome> outcomes = new LinkedBlockingQueue<>();
    private final HeldUpstream held = new HeldUpstream(
            new Upstream(NAME, 0, "z", HostAndPort.fromParts("127.0.0.1", 1), false),
            2,
            new SilentProtocol(),
            workers,
            clock,
            new UpstreamHarm(clock, InstantSource.system()));

    @AfterEach
    void stop() {
        workers.stop();
    }

    @Test
    void aCallAfterTheCloseIsNotRun() throws Exception {
        assertThat(held.closeIfIdle()).isTrue();
        held.submit(request("late"), outcomes::add);
        assertThat(outcomes.poll(LIMIT.toMillis(), TimeUnit.MILLISECONDS))
                .isEqualTo(new LeafOutcome.Failed(LeafFailure.HOLDER_UNREACHABLE));
    }

    @Test
    void aCallInFlightKeepsTheConnectionsOpen() {
        held.submit(request("in-flight"), outcomes::add);
        assertThat(held.closeIfIdle()).isFalse();
    }

    private LeafRequest request(String callId) {
        return new LeafRequest(
                callId,
                callId,
                NAME,
                0,
                1,
                Priority.NORMAL,
                clock.nowNanos() + LIMIT.toNanos(),
                "",
                ByteString.copyFromUtf8("query"));
    }

    /** Answers nothing. */
    private static final class SilentProtocol implements UpstreamProtocol {
        @Override
        public Uni<LeafOutcome> call(LeafRequest request, Duration remaining) {
            return Uni.createFrom().nothing();
        }

        @Override
        public void cancel(String callId) {}

        @Override
        public Uni<UpstreamReport> report() {
            return Uni.createFrom().nothing();
        }

        @Override
        public Uni<Boolean> acceptsConnections() {
            return Uni.createFrom().nothing();
        }

        @Override
        public void openConnections() {}

        @Override
        public void close() {}
    }
}

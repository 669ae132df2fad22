package org.bramblerack.process.quota;

import java.time.Duration;
import org.bramblerack.wire.RateCall;
import org.bramblerack.wire.RateNotice;
import org.bramblerack.wire.RateReport;
import org.bramblerack.wire.RateVerdict;

/** What is to be done about permissions. Immutable and safe for use by many threads. */
public sealed interface QuotaAction {
    /** A request may be made. */
    record Permit(long ticket, DecisionSource source) implements QuotaAction {}

    /** A request is refused, since its team has made as many as it may. */
    record Refuse(long ticket, long retryAfterMillis, DecisionSource source) implements QuotaAction {}

    /** Sends a report to a host, maybe this one, and hands back the verdict, or that none came in time. */
    record Report(String host, long id, RateReport report) implements QuotaAction {
        /** Several ways there and back between far regions; requests wait for the answer. */
        private static final Duration ASKING_WAIT = Duration.ofMillis(150);
        /** Nobody waits, and a host that is behind for a moment is not one that is away. */
        private static final Duration TELLING_WAIT = Duration.ofMillis(600);

        /** Returns for how long an answer is waited for before another host is asked. */
        public Duration answerTimeout() {
            boolean asks = report.getTeamsList().stream().anyMatch(team -> team.getAsked() > 0);
            return asks ? ASKING_WAIT : TELLING_WAIT;
        }
    }

    /** Answers a report. */
    record Answer(long token, RateVerdict verdict) implements QuotaAction {}

    /** Asks a host, maybe this one, to report here from now on, and hands back its answer if one comes. */
    record Call(String host, RateCall call) implements QuotaAction {}

    /** This host begins to keep the accounts of an owner's teams that another one kept, or may have kept. */
    record RecordTakeover(String owner) implements QuotaAction {}

    /** Tells every host. */
    record Notify(RateNotice notice) implements QuotaAction {}

    /** The parts want to be woken then. */
    record Wake(long atNanos) implements QuotaAction {}

    /** Where a decision about a request came from. */
    enum DecisionSource {
        /** The team is far from its limit: requests are made and then reported. */
        FREE,
        /** The host that keeps account was asked. */
        ASKED,
        /** One that stands in for it was asked. */
        STAND_IN,
        /** No host that keeps account was reached. */
        ALONE
    }
}

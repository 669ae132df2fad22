package org.bramblerack.process.quota;

import java.time.Duration;
import org.bramblerack.wire.RateCall;
import org.bramblerack.wire.RateNotice;
import org.bramblerack.wire.RateReport;
import org.bramblerack.wire.RateVerdict;

/** An action that a quota client or server requests. Immutable and safe for use by many threads. */
public sealed interface QuotaAction {
    /** Permits a request. */
    record Permit(long ticket, DecisionSource source) implements QuotaAction {}

    /** Refuses a request, since its team has reached its limit. */
    record Refuse(long ticket, long retryAfterMillis, DecisionSource source) implements QuotaAction {}

    /** Sends a report to a host, which may be this one; the client then handles the verdict or its time-out. */
    record Report(String host, long id, RateReport report) implements QuotaAction {
        /** Allows several round trips between distant regions; requests wait for the answer. */
        private static final Duration PERMISSION_TIMEOUT = Duration.ofMillis(150);
        /** Longer, since no request waits, and a server that lags briefly must not count as unreachable. */
        private static final Duration REPORT_TIMEOUT = Duration.ofMillis(600);

        /** Returns how long to wait for an answer before another server is tried. */
        public Duration answerTimeout() {
            boolean asksPermission = report.getTeamsList().stream().anyMatch(team -> team.getAsked() > 0);
            return asksPermission ? PERMISSION_TIMEOUT : REPORT_TIMEOUT;
        }
    }

    /** Answers a report. */
    record Answer(long token, RateVerdict verdict) implements QuotaAction {}

    /** Calls a host, which may be this one, to report here from now on; the server then handles its reply. */
    record Call(String host, RateCall call) implements QuotaAction {}

    /** Records that this host takes over the accounts of an owner's teams. */
    record RecordTakeover(String owner) implements QuotaAction {}

    /** Sends a notice to every host. */
    record Notify(RateNotice notice) implements QuotaAction {}

    /** Calls {@code wake} of client and server at the given time. */
    record Wake(long atNanos) implements QuotaAction {}

    /** How a request was decided. */
    enum DecisionSource {
        /** Permitted without asking, since the team is far from its limit. */
        FREE,
        /** Decided by the owner of the team. */
        ASKED,
        /** Decided by a backup of the owner. */
        STAND_IN,
        /** Decided by this host, since no quota server permits requests or can be reached. */
        ALONE
    }
}

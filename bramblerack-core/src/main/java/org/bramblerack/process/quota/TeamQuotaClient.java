package org.bramblerack.process.quota;

import com.google.common.collect.ImmutableList;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import org.bramblerack.version.routing.RateLimit;
import org.bramblerack.wire.TeamSpending;

/**
 * One host's spending of one team's limit, and which of it has been reported to the team's quota server.
 *
 * <p>Invariant: spending is reported to a server exactly once, or again if it is unknown whether the server received
 * the report. Not safe for use by several threads.
 */
final class TeamQuotaClient {
    private final String team;
    private final QuotaBound bound;
    private final Deque<Long> waitingTickets = new ArrayDeque<>();
    /** Spent before the current server took over. */
    private final SpentWindow spentEarlier;

    /** Spent since the current server took over. */
    private final SpentWindow spentSince;
    /** Spent from this host's share of the allowance of isolated hosts. */
    private final SpentWindow spentIsolated;

    private RateLimit limit = RateLimit.NONE;
    private String owner;
    private boolean earlierUnreported;
    private boolean confirmed;
    /** Requests spent and not reported yet, less refunds. */
    private int unreported;
    /** Requests permitted without asking and not reported yet. */
    private int freeUnreported;
    /** Requests permitted without asking and not confirmed by the server yet. */
    private int unconfirmed;
    /** Counts changes of server, so that the answer of a previous server is not applied. */
    private int serverCount;

    /**
     * Creates a client that has spent nothing.
     *
     * @param owner the host that the replicated tables assign the team to
     */
    TeamQuotaClient(String team, String owner, QuotaBound bound, long nowNanos) {
        this.team = team;
        this.owner = owner;
        this.bound = bound;
        long windowNanos = bound.window().toNanos();
        this.spentEarlier = new SpentWindow(windowNanos, nowNanos);
        this.spentSince = new SpentWindow(windowNanos, nowNanos);
        this.spentIsolated = new SpentWindow(windowNanos, nowNanos);
    }

    String team() {
        return team;
    }

    String owner() {
        return owner;
    }

    RateLimit limit() {
        return limit;
    }

    void setLimit(RateLimit inForce) {
        limit = inForce;
    }

    /** Returns true if the current server has answered a report. */
    boolean isConfirmed() {
        return confirmed;
    }

    /** Returns true if few enough requests are unconfirmed that one more may be permitted without asking. */
    boolean maySendFreely(int hosts) {
        return waitingTickets.isEmpty() && unconfirmed < bound.maxUnconfirmed(limit, hosts);
    }

    /** Records a request that was permitted without asking. */
    void recordFree(long nowNanos) {
        spentSince.add(1, nowNanos);
        unreported++;
        freeUnreported++;
        unconfirmed++;
    }

    /** Records a request that the server permitted, and has counted. */
    void recordPermitted(long nowNanos) {
        spentSince.add(1, nowNanos);
    }

    /** Spends one request of this host's share while no server is reachable; returns false if the share is used up. */
    boolean spendIsolated(int share, long nowNanos) {
        if (spentIsolated.total(nowNanos) >= share) {
            return false;
        }
        spentIsolated.add(1, nowNanos);
        spentSince.add(1, nowNanos);
        unreported++;
        return true;
    }

    void refund(long nowNanos) {
        spentSince.add(-1, nowNanos);
        unreported--;
    }

    void enqueue(long ticket) {
        waitingTickets.add(ticket);
    }

    /** Returns and removes the waiting requests. */
    ImmutableList<Long> drainWaiting() {
        ImmutableList<Long> taken = ImmutableList.copyOf(waitingTickets);
        waitingTickets.clear();
        return taken;
    }

    /** Sets a new owner, which also becomes the server. */
    void setOwner(String other, long nowNanos) {
        owner = other;
        changeServer(nowNanos);
        earlierUnreported = true;
    }

    /** Returns true if requests wait, or spending before the current server must be reported. */
    boolean needsReport(long nowNanos) {
        return !waitingTickets.isEmpty() || !spentEarlier.isEmpty(nowNanos);
    }

    /** Switches to a server that receives everything that was spent as earlier spending. */
    void changeServer(long nowNanos) {
        spentEarlier.moveFrom(spentSince, nowNanos);
        unreported = 0;
        freeUnreported = 0;
        unconfirmed = 0;
        confirmed = false;
        serverCount++;
    }

    /** Returns what was spent before the current server took over, or empty if nothing was. */
    Optional<TeamSpending> reportEarlier(long nowNanos) {
        earlierUnreported = false;
        if (spentEarlier.isEmpty(nowNanos)) {
            return Optional.empty();
        }
        return Optional.of(TeamSpending.newBuilder()
                .setTeam(team)
                .addAllEarlier(spentEarlier.byAge(nowNanos))
                .build());
    }

    /** Starts a report on unreported spending and waiting requests, and marks these as reported. */
    TeamReport startReport() {
        return new TeamReport();
    }

    /** Returns true if the team can be removed without loss of information. */
    boolean isIdle(long nowNanos) {
        boolean nothingPending = waitingTickets.isEmpty() && unreported == 0 && unconfirmed == 0;
        return nothingPending
                && spentEarlier.isEmpty(nowNanos)
                && spentSince.isEmpty(nowNanos)
                && spentIsolated.isEmpty(nowNanos);
    }

    /** The team's part of one report; it is reverted if the report remains unanswered. */
    final class TeamReport {
        private final ImmutableList<Long> tickets = drainWaiting();
        private final int spent = unreported;
        private final int free = freeUnreported;
        private final boolean includesEarlier = earlierUnreported;
        private final int serverNumber = serverCount;

        private TeamReport() {
            unreported = 0;
            freeUnreported = 0;
            earlierUnreported = false;
        }

        TeamQuotaClient client() {
            return TeamQuotaClient.this;
        }

        /** Returns the tickets of the requests that wait for the answer. */
        ImmutableList<Long> tickets() {
            return tickets;
        }

        TeamSpending toMessage(long nowNanos) {
            TeamSpending.Builder message =
                    TeamSpending.newBuilder().setTeam(team).setSpent(spent).setAsked(tickets.size());
            if (includesEarlier) {
                message.addAllEarlier(spentEarlier.byAge(nowNanos));
            }
            return message.build();
        }

        void confirm() {
            if (serverNumber == serverCount) {
                unconfirmed -= free;
                confirmed = true;
            }
        }

        /** Marks the content as unreported again, since the server may not have received it. */
        void revert() {
            tickets.reverse().forEach(waitingTickets::addFirst);
            if (serverNumber == serverCount) {
                unreported += spent;
                freeUnreported += free;
                earlierUnreported |= includesEarlier;
            }
        }
    }
}

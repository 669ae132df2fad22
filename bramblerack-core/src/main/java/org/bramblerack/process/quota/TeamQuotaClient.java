package org.bramblerack.process.quota;

import com.google.common.collect.ImmutableList;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import org.bramblerack.version.routing.RateLimit;
import org.bramblerack.wire.TeamSpending;

/**
 * What one host spends of one team's limit, and what of that it has told.
 *
 * <p>Invariant: what was spent is told to the host that keeps account exactly once, or twice if it is not known whether
 * that host got it. Not safe for use by several threads.
 */
final class TeamQuotaClient {
    private final String team;
    private final QuotaBound bound;
    private final Deque<Long> waitingTickets = new ArrayDeque<>();
    /** What was spent before this host reported to the one that it reports to. */
    private final SpentWindow spentEarlier;

    private final SpentWindow spentSince;
    private final SpentWindow spentIsolated;
    private RateLimit limit = RateLimit.NONE;
    private String owner;
    private boolean earlierUnreported;
    private boolean confirmed;
    /** Spent and not told yet, less what was given back. */
    private int unreported;
    /** Made freely and not told yet. */
    private int freeUnreported;
    /** Made freely and not answered for yet. */
    private int unconfirmed;
    /** Counts the hosts to which this one reported: what an earlier one was told is not told again. */
    private int serverCount;

    /**
     * Creates a record that nothing was spent.
     *
     * @param owner the host that is to keep account by the agreed tables
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

    /** Returns true if the host that keeps account has answered since it began to. */
    boolean isConfirmed() {
        return confirmed;
    }

    /** Returns true if so few requests are not answered for that one more may be made first and told then. */
    boolean maySendFreely(int hosts) {
        return waitingTickets.isEmpty() && unconfirmed < bound.maxUnconfirmed(limit, hosts);
    }

    void recordFree(long nowNanos) {
        spentSince.add(1, nowNanos);
        unreported++;
        freeUnreported++;
        unconfirmed++;
    }

    /** Notes a request that the host which keeps account has permitted, and counted. */
    void recordPermitted(long nowNanos) {
        spentSince.add(1, nowNanos);
    }

    /** Makes a request by this host's part of what is safe; returns false if that is spent. */
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

    /** Returns the requests that wait, which do so no longer. */
    ImmutableList<Long> drainWaiting() {
        ImmutableList<Long> taken = ImmutableList.copyOf(waitingTickets);
        waitingTickets.clear();
        return taken;
    }

    /** Has another host keep account by the agreed tables. */
    void setOwner(String other, long nowNanos) {
        owner = other;
        changeServer(nowNanos);
        earlierUnreported = true;
    }

    /** Returns true if there is something to tell before the next request. */
    boolean needsReport(long nowNanos) {
        return !waitingTickets.isEmpty() || !spentEarlier.isEmpty(nowNanos);
    }

    /** Begins to report to a host that is told everything which was spent. */
    void changeServer(long nowNanos) {
        spentEarlier.moveFrom(spentSince, nowNanos);
        unreported = 0;
        freeUnreported = 0;
        unconfirmed = 0;
        confirmed = false;
        serverCount++;
    }

    /** Returns what was spent before this host reported to the one that it reports to, if anything was. */
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

    /** Takes out what is to be told and asked. */
    TeamReport startReport() {
        return new TeamReport();
    }

    /** Returns true if nothing is left to be remembered. */
    boolean isIdle(long nowNanos) {
        boolean nothingPending = waitingTickets.isEmpty() && unreported == 0 && unconfirmed == 0;
        return nothingPending
                && spentEarlier.isEmpty(nowNanos)
                && spentSince.isEmpty(nowNanos)
                && spentIsolated.isEmpty(nowNanos);
    }

    /** What one report tells of the team; until it is answered, it may have to be told again. */
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

        /** Returns the requests that wait for the answer. */
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

        /** Puts back what was told, since it is not known whether anybody got it. */
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

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
final class TeamSpender {
    private final String team;
    private final QuotaBound bound;
    private final Deque<Long> waiting = new ArrayDeque<>();
    /** What was spent before this host reported to the one that it reports to. */
    private final SpentWindow earlier;

    private final SpentWindow since;
    private final SpentWindow alone;
    private RateLimit limit = RateLimit.NONE;
    private String owner;
    private boolean earlierUntold;
    private boolean answered;
    /** Spent and not told yet, less what was given back. */
    private int untold;
    /** Made freely and not told yet. */
    private int freeUntold;
    /** Made freely and not answered for yet. */
    private int unanswered;
    /** Counts the hosts to which this one reported: what an earlier one was told is not told again. */
    private int reportedTo;

    /**
     * Creates a record that nothing was spent.
     *
     * @param owner the host that is to keep account by the agreed tables
     */
    TeamSpender(String team, String owner, QuotaBound bound, long nowNanos) {
        this.team = team;
        this.owner = owner;
        this.bound = bound;
        long windowNanos = bound.window().toNanos();
        this.earlier = new SpentWindow(windowNanos, nowNanos);
        this.since = new SpentWindow(windowNanos, nowNanos);
        this.alone = new SpentWindow(windowNanos, nowNanos);
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
    boolean isAnswered() {
        return answered;
    }

    /** Returns true if so few requests are not answered for that one more may be made first and told then. */
    boolean mayMakeFreely(int hosts) {
        return waiting.isEmpty() && unanswered < bound.unanswered(limit, hosts);
    }

    void madeFreely(long nowNanos) {
        since.add(1, nowNanos);
        untold++;
        freeUntold++;
        unanswered++;
    }

    /** Notes a request that the host which keeps account has permitted, and counted. */
    void made(long nowNanos) {
        since.add(1, nowNanos);
    }

    /** Makes a request by this host's part of what is safe; returns false if that is spent. */
    boolean makeAlone(int part, long nowNanos) {
        if (alone.total(nowNanos) >= part) {
            return false;
        }
        alone.add(1, nowNanos);
        since.add(1, nowNanos);
        untold++;
        return true;
    }

    void givenBack(long nowNanos) {
        since.add(-1, nowNanos);
        untold--;
    }

    void waits(long ticket) {
        waiting.add(ticket);
    }

    /** Returns the requests that wait, which do so no longer. */
    ImmutableList<Long> takeWaiting() {
        ImmutableList<Long> taken = ImmutableList.copyOf(waiting);
        waiting.clear();
        return taken;
    }

    /** Has another host keep account by the agreed tables. */
    void moveTo(String other, long nowNanos) {
        owner = other;
        reportAnew(nowNanos);
        earlierUntold = true;
    }

    /** Returns true if there is something to tell before the next request. */
    boolean hasToTell(long nowNanos) {
        return !waiting.isEmpty() || !earlier.isEmpty(nowNanos);
    }

    /** Begins to report to a host that is told everything which was spent. */
    void reportAnew(long nowNanos) {
        earlier.takeAll(since, nowNanos);
        untold = 0;
        freeUntold = 0;
        unanswered = 0;
        answered = false;
        reportedTo++;
    }

    /** Returns what was spent before this host reported to the one that it reports to, if anything was. */
    Optional<TeamSpending> tellEarlier(long nowNanos) {
        earlierUntold = false;
        if (earlier.isEmpty(nowNanos)) {
            return Optional.empty();
        }
        return Optional.of(TeamSpending.newBuilder()
                .setTeam(team)
                .addAllEarlier(earlier.byAge(nowNanos))
                .build());
    }

    /** Takes out what is to be told and asked. */
    Told tell() {
        return new Told();
    }

    /** Returns true if nothing is left to be remembered. */
    boolean isIdle(long nowNanos) {
        boolean nothingOpen = waiting.isEmpty() && untold == 0 && unanswered == 0;
        return nothingOpen && earlier.isEmpty(nowNanos) && since.isEmpty(nowNanos) && alone.isEmpty(nowNanos);
    }

    /** What one report tells of the team; until it is answered, it may have to be told again. */
    final class Told {
        private final ImmutableList<Long> asked = takeWaiting();
        private final int spent = untold;
        private final int free = freeUntold;
        private final boolean tellsEarlier = earlierUntold;
        private final int toldTo = reportedTo;

        private Told() {
            untold = 0;
            freeUntold = 0;
            earlierUntold = false;
        }

        TeamSpender spending() {
            return TeamSpender.this;
        }

        /** Returns the requests that wait for the answer. */
        ImmutableList<Long> asked() {
            return asked;
        }

        TeamSpending message(long nowNanos) {
            TeamSpending.Builder message =
                    TeamSpending.newBuilder().setTeam(team).setSpent(spent).setAsked(asked.size());
            if (tellsEarlier) {
                message.addAllEarlier(earlier.byAge(nowNanos));
            }
            return message.build();
        }

        void answered() {
            if (toldTo == reportedTo) {
                unanswered -= free;
                answered = true;
            }
        }

        /** Puts back what was told, since it is not known whether anybody got it. */
        void takeBack() {
            asked.reverse().forEach(waiting::addFirst);
            if (toldTo == reportedTo) {
                untold += spent;
                freeUntold += free;
                earlierUntold |= tellsEarlier;
            }
        }
    }
}

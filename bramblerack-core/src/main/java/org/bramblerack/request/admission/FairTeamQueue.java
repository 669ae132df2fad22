package org.bramblerack.request.admission;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Whose turn it is among teams: start-time fair queueing.
 *
 * <p>In a time that counts room given and not seconds, a team's next request begins where its last one ended, or now if
 * that is past. So a team that asks for more than its share queues behind itself, whether by new requests or by ones
 * that were refused and come again, and one that asks for less never waits for the others' excess. What a team owes is
 * bounded by {@link #MAX_BACKLOG_CALLS}. Not safe for use by several threads.
 */
final class FairTeamQueue {
    /** Some ten queries over the shards of a large index. */
    private static final double MAX_BACKLOG_CALLS = 2_000;
    /** As many teams as a configuration may hold; those that asked longest ago are forgotten first. */
    private static final int MAX_TEAMS = 10_000;

    private final Map<String, Double> finishTagByTeam = new LinkedHashMap<>();
    private double virtualTime;

    /** Returns when, in room given, the turn of a team's next request comes. */
    double nextStartTag(String team, double weight) {
        double finishTag = finishTagByTeam.getOrDefault(team, virtualTime);
        return Math.max(virtualTime, Math.min(finishTag, virtualTime + MAX_BACKLOG_CALLS / weight));
    }

    /** Notes that the next request of a team begins. */
    void recordStart(String team, double weight, int calls) {
        double startTag = nextStartTag(team, weight);
        virtualTime = startTag;
        finishTagByTeam.remove(team);
        finishTagByTeam.put(team, startTag + calls / weight);
        if (finishTagByTeam.size() > MAX_TEAMS) {
            Iterator<String> oldest = finishTagByTeam.keySet().iterator();
            oldest.next();
            oldest.remove();
        }
    }
}

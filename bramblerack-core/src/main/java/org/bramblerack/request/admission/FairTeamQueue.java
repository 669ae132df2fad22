package org.bramblerack.request.admission;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Start-time fair queueing among teams.
 *
 * <p>The virtual time is measured in calls per weight. The start tag of a team's next request is the finish tag of its
 * previous one, or the current virtual time if that is later. A team that exceeds its share is therefore delayed only
 * behind its own requests, and a team below its share does not wait for the excess of others. A start tag is at most
 * {@link #MAX_BACKLOG_CALLS} per weight ahead of the virtual time. Not thread-safe.
 */
final class FairTeamQueue {
    /** About ten queries over all shards of a large index. */
    private static final double MAX_BACKLOG_CALLS = 2_000;
    /** The maximum number of teams in a configuration; the least recently served team is evicted first. */
    private static final int MAX_TEAMS = 10_000;

    private final Map<String, Double> finishTagByTeam = new LinkedHashMap<>();
    private double virtualTime;

    /** Returns the virtual time at which the team's next request may start. */
    double nextStartTag(String team, double weight) {
        double finishTag = finishTagByTeam.getOrDefault(team, virtualTime);
        return Math.max(virtualTime, Math.min(finishTag, virtualTime + MAX_BACKLOG_CALLS / weight));
    }

    /** Records that the team's next request starts, and advances the virtual time to its start tag. */
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

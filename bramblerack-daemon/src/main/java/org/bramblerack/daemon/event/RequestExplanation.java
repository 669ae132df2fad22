package org.bramblerack.daemon.event;

import static java.util.Objects.requireNonNull;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Explains a request from the events that the hosts logged: its outcome, and what changed shortly before.
 *
 * <p>Immutable and safe for use by many threads.
 */
public final class RequestExplanation {
    /** Hosts detect unresponsive hosts and leaves within a few seconds, so older events are rarely relevant. */
    private static final Duration RELATED_EVENT_WINDOW = Duration.ofSeconds(10);

    /** Older related events are omitted, to keep the output readable. */
    private static final int MAX_RELATED_EVENTS = 20;

    private static final String REQUEST_ENDED = "request_ended";

    /** The meaning of each outcome and where to look next. */
    private static final ImmutableMap<String, String> OUTCOME_MEANINGS = ImmutableMap.<String, String>builder()
            .put("WHOLE", "whole and in time; nothing went wrong on this host")
            .put("PASSED_ON", "a leaf's answer was passed on in time")
            .put("PARTIAL", "shards were missing when the answer had to leave; 'tried' names each and what was tried")
            .put("LATE", "the answer came after the route's goal; 'tried' says what it waited for")
            .put("NO_LEAF", "not run: no leaf of the service takes work; look for leaves and crashes before it")
            .put("ALL_BUSY", "not run: every leaf that was asked said that it is full")
            .put(
                    "NO_ROOM",
                    "not run: it could not be answered in time by what waited at this host; 'room' says what did")
            .put("TOO_FEW_SHARDS", "fewer shards answered than the route demands")
            .put("TIME_UP", "the deadline or the route's time-out came first")
            .put("OUTCOME_UNKNOWN", "a leaf broke off; the request may have run, so it was not sent again")
            .put(
                    "OVER_LIMIT",
                    "not run: the team has made as many requests as it may; 'decidedBy' says whose word it was")
            .put("NO_ROUTE", "no route of the configuration named in the line takes this host and path")
            .put(
                    "NO_LEAF_AT_HOME",
                    "not run: no leaf takes work where the route, and the team whose key was shown, let it be served")
            .put(
                    "UNKNOWN_KEY",
                    "not run: the newest configuration, which is the one named in the line, has no team with this key")
            .put(
                    "KEY_UNDECIDED",
                    "not run: the key is not known here, and no leader confirmed in time that this configuration is"
                            + " the newest; look for tables_lost, and for role_changed on control hosts")
            .put("NOT_READY", "the host did not know the tables yet")
            .put("BODY_TOO_LONG", "the body is longer than the configuration allows")
            .buildOrThrow();

    private final ImmutableList<String> lines;

    private RequestExplanation(ImmutableList<String> lines) {
        this.lines = lines;
    }

    /**
     * Explains a request.
     *
     * @param requestId the identifier that the caller set
     * @param events the events of all hosts, in any order
     */
    public static RequestExplanation of(String requestId, List<LoggedEvent> events) {
        requireNonNull(requestId);
        List<LoggedEvent> sorted = new ArrayList<>(events);
        sorted.sort(Comparator.comparing(LoggedEvent::at));
        ImmutableList.Builder<String> lines = ImmutableList.builder();
        for (LoggedEvent event : sorted) {
            if (event.event().equals(REQUEST_ENDED) && event.field("request").equals(requestId)) {
                lines.addAll(explain(event, sorted));
            }
        }
        return new RequestExplanation(lines.build());
    }

    /** Returns true if any host logged the end of the request. */
    public boolean isFound() {
        return !lines.isEmpty();
    }

    /** Returns the explanation, line by line. */
    public ImmutableList<String> lines() {
        return lines;
    }

    private static ImmutableList<String> explain(LoggedEvent ended, List<LoggedEvent> events) {
        String outcome = ended.field("outcome");
        ImmutableList.Builder<String> lines = ImmutableList.builder();
        lines.add(ended.file() + " " + ended.at() + " " + outcome + " after " + ended.field("tookMillis") + " ms");
        lines.add("  meaning: " + OUTCOME_MEANINGS.getOrDefault(outcome, "the leaf's own answer was passed on"));
        if (!ended.field("onBehalfOf").isEmpty()) {
            lines.add("  asked on behalf of host " + ended.field("onBehalfOf"));
        }
        lines.add("  route " + ended.field("route") + ", configuration " + ended.field("configuration")
                + ", tables at revision " + ended.field("revision"));
        if (!ended.field("shown").isEmpty()) {
            lines.add("  the caller showed " + ended.field("shown"));
        }
        for (String tried : ended.field("tried").split("; ", -1)) {
            if (!tried.isBlank()) {
                lines.add("  tried: " + tried);
            }
        }
        Instant since = ended.at().minus(RELATED_EVENT_WINDOW);
        List<String> related = new ArrayList<>();
        for (LoggedEvent event : events) {
            boolean before = !event.at().isBefore(since) && !event.at().isAfter(ended.at());
            if (before && isRelated(event, ended)) {
                related.add(
                        "  before: " + event.at() + " " + event.file() + " " + event.event() + " " + event.fields());
            }
        }
        lines.addAll(related.subList(Math.max(0, related.size() - MAX_RELATED_EVENTS), related.size()));
        return lines.build();
    }

    /**
     * Returns true for events of the same host, and for events of any host about leaves that the request was sent to.
     */
    private static boolean isRelated(LoggedEvent event, LoggedEvent ended) {
        if (event.event().equals(REQUEST_ENDED) || event.event().equals("counters")) {
            return false;
        }
        String tried = ended.field("tried");
        boolean concernsTriedLeaf = isNamedIn(tried, event.field("leaf")) || isNamedIn(tried, event.field("service"));
        boolean fromSameHost =
                event.file().equals(ended.file()) && event.field("leaf").isEmpty() && !isRoutine(event);
        return fromSameHost || concernsTriedLeaf;
    }

    private static boolean isNamedIn(String tried, String name) {
        return !name.isEmpty() && tried.contains(name);
    }

    /** Returns true for a change of the tables that affects neither the set of entry hosts nor leaving leaves. */
    private static boolean isRoutine(LoggedEvent event) {
        return event.event().equals("tables_changed")
                && event.field("leaving").isEmpty()
                && event.field("entryHosts").equals(event.field("entryHostsBefore"));
    }
}

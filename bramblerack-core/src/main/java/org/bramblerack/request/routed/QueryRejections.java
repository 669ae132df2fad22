package org.bramblerack.request.routed;

import java.util.ArrayList;
import java.util.List;

/**
 * The rejections of one query, and whether they are failures of the leaves.
 *
 * <p>Invariant: a rejection counts against its leaf if and only if some leaf has accepted the query, before or after. A
 * query that all leaves reject is itself at fault. Not safe for use by several threads.
 */
final class QueryRejections {
    private final List<Attempt> undecided = new ArrayList<>(0);
    private boolean accepted;

    /** Records that a leaf rejected the query. */
    void onRejected(Attempt attempt, List<RoutedAction> actions) {
        if (accepted) {
            actions.add(new RoutedAction.RecordLeafFailure(attempt));
        } else {
            undecided.add(attempt);
        }
    }

    /** Records that a leaf accepted the query. */
    void onAccepted(List<RoutedAction> actions) {
        accepted = true;
        for (Attempt attempt : undecided) {
            actions.add(new RoutedAction.RecordLeafFailure(attempt));
        }
        undecided.clear();
    }
}

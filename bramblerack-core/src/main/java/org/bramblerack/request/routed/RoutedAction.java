package org.bramblerack.request.routed;

import com.google.common.collect.ImmutableList;

/** An action that a routed request returns to its caller. The actions of one call are carried out in order. */
public sealed interface RoutedAction {
    /** Sends the request to the attempt's leaf. */
    record CallLeaf(Attempt attempt) implements RoutedAction {}

    /** Abandons an attempt that is no longer needed, so that its leaf can drop the request. */
    record AbandonAttempt(Attempt attempt) implements RoutedAction {}

    /** Records that the answer of an attempt turned out to be a failure of its leaf. */
    record RecordLeafFailure(Attempt attempt) implements RoutedAction {}

    /** Delegates the shards of a stage to its host. */
    record CallStage(StageAttempt stage) implements RoutedAction {}

    /** Avoids the host of a stage for some time, since it was silent for too long. */
    record SuspectStage(StageAttempt stage) implements RoutedAction {}

    /** Notifies the host of a stage that its reply is no longer needed. */
    record AbandonStage(StageAttempt stage) implements RoutedAction {}

    /** Calls {@code wake} at the given time, unless the request has ended by then. */
    record Wake(long atNanos) implements RoutedAction {}

    /** Answers the caller from these parts; shards may be missing. */
    record DeliverMerged(MergedAnswer answer) implements RoutedAction {}

    /** Sends the parts that arrived since the last partial result; more may follow. */
    record DeliverPartial(MergedAnswer partial) implements RoutedAction {}

    /** Answers the caller with the answer of the attempt's leaf. */
    record DeliverAnswer(Attempt attempt) implements RoutedAction {}

    /** Refuses the request. */
    record Refuse(RefusalReason reason) implements RoutedAction {}

    /** Requests an attempt for each of these shards from the host that delegated the query. */
    record RequestAttempts(ImmutableList<Integer> shards) implements RoutedAction {}

    /** Replies to a request of a stage's host for attempts: those handed over, and those that are not available. */
    record AnswerAttemptRequest(StageAttempt stage, ImmutableList<Integer> granted, ImmutableList<Integer> denied)
            implements RoutedAction {}

    /**
     * Reports that this host and the host of a stage together made more attempts at some of its shards than permitted.
     */
    record ReportExceeded(StageAttempt stage, ImmutableList<Integer> shards) implements RoutedAction {}

    /** Increments a counter. */
    record Count(AttemptCounter counter) implements RoutedAction {}
}

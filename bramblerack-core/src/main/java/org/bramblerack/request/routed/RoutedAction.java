package org.bramblerack.request.routed;

/** What a routed request wants done. The actions of one call are carried out in order. */
public sealed interface RoutedAction {
    /** Send the request to the attempt's leaf. */
    record CallLeaf(Attempt attempt) implements RoutedAction {}

    /** Stop an attempt of which nothing is expected any more, so that its leaf can drop it. */
    record AbandonAttempt(Attempt attempt) implements RoutedAction {}

    /** Have another host ask some shards. */
    record CallStage(StageAttempt stage) implements RoutedAction {}

    /** Leave the host of a stage alone for a while: it is silent for too long. */
    record SuspectStage(StageAttempt stage) implements RoutedAction {}

    /** Tell the host of a stage that nobody waits for its reply any more. */
    record AbandonStage(StageAttempt stage) implements RoutedAction {}

    /** Call {@code wake} at the given time, unless the request is over by then. */
    record Wake(long atNanos) implements RoutedAction {}

    /** Answer the caller from these parts; some shards may be missing. */
    record DeliverMerged(MergedAnswer answer) implements RoutedAction {}

    /** Send on the parts that came since the last piece; more may follow. */
    record DeliverPartial(MergedAnswer partial) implements RoutedAction {}

    /** Answer the caller with what the attempt's leaf answered. */
    record DeliverAnswer(Attempt attempt) implements RoutedAction {}

    /** Tell the caller that there is no answer. */
    record Refuse(RefusalReason reason) implements RoutedAction {}

    /** Count an extra attempt, or one that was not made. */
    record Count(AttemptCounter counter) implements RoutedAction {}
}

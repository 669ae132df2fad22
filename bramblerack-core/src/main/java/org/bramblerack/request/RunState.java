package org.bramblerack.request;

/** Whether a refused request ran. */
public enum RunState {
    /** The request did not run, and this attempt will never run it. */
    NOT_RUN,
    /** The request may have run, fully or in part. */
    MAY_HAVE_RUN
}

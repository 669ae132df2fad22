package org.bramblerack.request;

/** Whether a refused request ran. */
public enum RunState {
    /** The request did not run and never will under this attempt. */
    NOT_RUN,
    /** Work may have been done for the request. */
    MAY_HAVE_RUN
}

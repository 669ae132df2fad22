package org.bramblerack.daemon.entry;

import org.bramblerack.request.Refusal;
import org.bramblerack.request.RefusalKind;

/** The refusals that more than one component gives. */
final class Refusals {
    /** Given to requests that arrive too late during a stop. */
    static final Refusal STOPPING =
            Refusal.of(RefusalKind.STOPPING, "this host is stopping; send the request to another");

    private Refusals() {}
}

/** The connections of this host to upstreams, with the upstreams' queues and status. */
@NullMarked
package org.bramblerack.daemon.holder;

import org.jspecify.annotations.NullMarked;

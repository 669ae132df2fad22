/** The holder role: connections to upstreams, their queues and their status. */
@NullMarked
package org.bramblerack.daemon.holder;

import org.jspecify.annotations.NullMarked;

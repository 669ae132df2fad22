/** A minimal HTTP server on Netty, for processes that run on a fraction of a core. */
@NullMarked
package org.bramblerack.daemon.http;

import org.jspecify.annotations.NullMarked;

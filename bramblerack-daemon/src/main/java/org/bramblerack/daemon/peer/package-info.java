/** Messages between the project's own processes: Netty connections that carry protobuf frames. */
@NullMarked
package org.bramblerack.daemon.peer;

import org.jspecify.annotations.NullMarked;

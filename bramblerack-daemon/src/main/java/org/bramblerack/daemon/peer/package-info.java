/** Messages between the processes of this project: Netty connections that carry protobuf frames. */
@NullMarked
package org.bramblerack.daemon.peer;

import org.jspecify.annotations.NullMarked;

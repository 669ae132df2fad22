/**
 * Consensus among the control hosts: the Raft protocol and the replicated state machine.
 *
 * <p>This package does no I/O. {@link org.bramblerack.process.agreement.RaftNode} returns the actions to carry out, in
 * order.
 */
@NullMarked
package org.bramblerack.process.agreement;

import org.jspecify.annotations.NullMarked;

/** Distributed enforcement of teams' rate limits over all hosts: quota servers, quota clients and their accounts. */
@NullMarked
package org.bramblerack.process.quota;

import org.jspecify.annotations.NullMarked;

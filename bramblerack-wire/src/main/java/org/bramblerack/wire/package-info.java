/** Messages between the project's own processes. Generated from {@code peer.proto}; do not edit. */
package org.bramblerack.wire;

package org.bramblerack.daemon.fleet;

/** The operator who sent an order, as far as a control host can tell. Safe for use by many threads. */
public interface OrderCaller {
    /** Returns the network address that the order came from. */
    String address();

    /** Returns true if the caller closed the connection before the order was answered. */
    boolean hasLeft();
}

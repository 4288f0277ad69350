package org.tamaracktrack.core.copies;

/**
 * States whether an engine can receive an order, or why it cannot. The constants' names appear in
 * the log.
 */
public enum EngineState {
    /** It can receive an order. */
    IDLE,
    /** An order is pending or in progress. */
    BUSY,
    /** Memory is reserved for a model whose load has not begun. */
    RESERVED,
    /** The outcome of an order is unknown, or the engine has not reported yet. */
    UNSURE
}

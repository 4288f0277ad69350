package org.tamaracktrack.core.copies;

/** Whether an engine can be given an order, and why not. */
public enum EngineState {
    /** It can. */
    IDLE,
    /** An order is on its way or being carried out. */
    BUSY,
    /** Room was made there for a model that is not being loaded yet. */
    RESERVED,
    /** The outcome of an order is not known, or no report has come yet. */
    UNSURE
}

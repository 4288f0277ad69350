package org.tamaracktrack.core.knowledge;

/** Whether what is known may be acted on, the best first. */
public enum Standing {
    /** It is young enough. */
    FRESH,
    /** It is old, and there is none younger while the store is away. */
    KEPT,
    /** It is too old, though the store may have younger. */
    STALE
}

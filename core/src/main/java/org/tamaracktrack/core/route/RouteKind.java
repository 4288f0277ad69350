package org.tamaracktrack.core.route;

/** Classifies routes by what their requests allow after a failure. */
public enum RouteKind {
    /** A request may run more than once. */
    IDEMPOTENT,
    /** A request runs at most once. */
    NON_IDEMPOTENT,
    /** The answer is a stream of events, which may be resumed if the route is resumable. */
    STREAMING
}

package org.tamaracktrack.core.route;

/** What a route's requests allow after a failure. */
public enum RouteKind {
    /** A request may run more than once. */
    IDEMPOTENT,
    /** A request runs at most once. */
    NON_IDEMPOTENT,
    /** The answer is a stream of events; it may be resumed where the route says so. */
    STREAMING
}

/**
 * Forwards callers' requests byte for byte to targets that have no daemon beside them: routes,
 * attempts, streams and their resumption, timeouts and cancellation.
 */
package org.tamaracktrack.daemon.gateway;

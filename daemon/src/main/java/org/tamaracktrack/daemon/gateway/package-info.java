/**
 * Callers' requests passed on byte for byte to targets that have no process beside them: routes,
 * attempts, streams and their resumption, timeouts and cancellation.
 */
package org.tamaracktrack.daemon.gateway;

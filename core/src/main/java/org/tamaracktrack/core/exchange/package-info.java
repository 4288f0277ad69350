/**
 * Handles one request of a caller from its arrival to its single answer, over all of its attempts:
 * what is sent to targets, what the caller receives, and whether the request is known to have run.
 */
package org.tamaracktrack.core.exchange;

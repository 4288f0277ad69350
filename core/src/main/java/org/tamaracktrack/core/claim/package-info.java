/**
 * At most once for requests that carry an idempotency key: a claim in the log before anything is
 * sent, of which the first by offset wins.
 */
package org.tamaracktrack.core.claim;

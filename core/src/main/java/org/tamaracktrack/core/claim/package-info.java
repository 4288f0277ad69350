/**
 * Runs requests that carry an idempotency key at most once: a claim is written to the log before
 * anything is sent, and of the claims for a key the first one by offset wins.
 */
package org.tamaracktrack.core.claim;

/**
 * The ledger of a target's accelerator memory: what is committed, what is reserved for orders under
 * way, and the invariant that both together fit.
 */
package org.tamaracktrack.core.memory;

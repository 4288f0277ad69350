/**
 * Accounting for the accelerator memory of a target: committed memory, memory reserved for pending
 * orders, and the invariant that both fit together.
 */
package org.tamaracktrack.core.memory;

/**
 * The duty of placing models on engines, which one daemon at a time holds by a lease: the lease,
 * the demand and engine state that are exchanged for it, and the orders that are sent to engines.
 */
package org.tamaracktrack.daemon.copies;

/**
 * The target role: the only process that admits requests to its target, sends it orders, and keeps
 * the ledger of the memory of its accelerators.
 */
package org.tamaracktrack.daemon.target;

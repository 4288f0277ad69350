/**
 * The target role: the one process beside a target. It alone admits work to it, sends it orders and
 * keeps the ledger of its accelerators' memory.
 */
package org.tamaracktrack.daemon.target;

/** Leases that give each duty to one process at a time, derived from the records of a log. */
package org.tamaracktrack.core.lease;

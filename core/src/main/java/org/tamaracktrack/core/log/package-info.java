/**
 * The records that the system keeps in the platform's append-only log. The offset of a record is
 * its order, its version and, for an ownership record, the fencing number.
 */
package org.tamaracktrack.core.log;

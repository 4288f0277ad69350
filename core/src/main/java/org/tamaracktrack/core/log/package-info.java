/**
 * The records that the system stores in the platform's append-only log. The offset of a record
 * defines its order and serves as the version of a publication, the fencing number of an ownership
 * record and the term of a lease.
 */
package org.tamaracktrack.core.log;

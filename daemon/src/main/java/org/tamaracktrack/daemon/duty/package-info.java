/** The duties that one entry daemon at a time performs, each held by a lease in the log. */
package org.tamaracktrack.daemon.duty;

/** The duties that one entry daemon at a time holds by a lease in the log. */
package org.tamaracktrack.daemon.duty;

/** The entry role of the daemon. */
package org.tamaracktrack.daemon.entry;

/** The target role of the daemon. */
package org.tamaracktrack.daemon.target;

/** Exchange of the load that each daemon puts on targets. */
package org.tamaracktrack.daemon.load;

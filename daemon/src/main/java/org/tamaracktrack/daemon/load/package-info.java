/** What daemons tell each other of the load that they put on targets. */
package org.tamaracktrack.daemon.load;

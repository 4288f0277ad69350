/** Records that one daemon read of the store, passed on to the others. */
package org.tamaracktrack.daemon.relay;

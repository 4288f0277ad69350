/** Relays records that one daemon has read from the store to the other daemons. */
package org.tamaracktrack.daemon.relay;

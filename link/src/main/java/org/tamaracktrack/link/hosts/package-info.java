/** The client of the platform's lagging list of hosts. */
package org.tamaracktrack.link.hosts;

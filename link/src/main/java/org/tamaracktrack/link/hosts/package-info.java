/** Contains the client of the platform's list of hosts, which may be out of date. */
package org.tamaracktrack.link.hosts;

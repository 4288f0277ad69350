/** The stand-in of the host list. */
package org.tamaracktrack.standins.hosts;

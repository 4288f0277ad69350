/** The stand-in of the append-only log. */
package org.tamaracktrack.standins.log;

/** The host list's stand-in. */
package org.tamaracktrack.standins.hosts;

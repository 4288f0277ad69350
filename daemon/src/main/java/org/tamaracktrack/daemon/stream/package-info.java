/** Messages between daemons about the software versions at which streams began. */
package org.tamaracktrack.daemon.stream;

/** A caller's connection, and how its end is noticed while a request is in progress. */
package org.tamaracktrack.daemon.connection;

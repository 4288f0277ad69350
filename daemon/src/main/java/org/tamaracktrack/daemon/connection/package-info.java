/** Tracks callers' connections and detects disconnects while a request is in progress. */
package org.tamaracktrack.daemon.connection;

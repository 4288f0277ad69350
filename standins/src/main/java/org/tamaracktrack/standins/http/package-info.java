/** The HTTP server and helpers that all stand-ins share. */
package org.tamaracktrack.standins.http;

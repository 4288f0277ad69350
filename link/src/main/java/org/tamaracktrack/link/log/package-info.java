/** Contains the client of the platform's append-only log. */
package org.tamaracktrack.link.log;

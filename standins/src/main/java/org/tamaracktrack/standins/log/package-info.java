/** The append-only log's stand-in. */
package org.tamaracktrack.standins.log;

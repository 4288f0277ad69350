/** Exchange, through the store, of the requests during which targets ended. */
package org.tamaracktrack.daemon.quarantine;

/** What daemons tell each other, through the store, of requests under which targets end. */
package org.tamaracktrack.daemon.quarantine;

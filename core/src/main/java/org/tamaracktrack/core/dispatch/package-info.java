/** Which target gets a request, and what follows when an attempt fails. */
package org.tamaracktrack.core.dispatch;

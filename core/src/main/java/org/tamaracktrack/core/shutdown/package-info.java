/** What a process still does during a planned stop. */
package org.tamaracktrack.core.shutdown;

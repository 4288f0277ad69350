/** Measures how late the threads of this process run their tasks. */
package org.tamaracktrack.core.delay;

/** The command that shows the whole system at work. */
package org.tamaracktrack.bench.local;

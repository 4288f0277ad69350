/** Open-loop loads, and experiments at the current sizes of the users' sites. */
package org.tamaracktrack.bench.load;

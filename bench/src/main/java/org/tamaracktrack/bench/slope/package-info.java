/** How the cost of each decision and record grows with its size, measured in this process alone. */
package org.tamaracktrack.bench.slope;

/** Who holds a duty, as every reader of the plan stream derives it from the records alone. */
package org.tamaracktrack.core.lease;

/** Which engines hold copies of which models and adapters, and the orders that bring it about. */
package org.tamaracktrack.core.copies;

/**
 * Freshness of the information of a daemon about the store, and the staleness bound for its use.
 */
package org.tamaracktrack.core.knowledge;

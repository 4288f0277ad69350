/** Decides which engines hold replicas of which models and adapters, and which orders to issue. */
package org.tamaracktrack.core.copies;

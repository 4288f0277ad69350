/** Shedding of new connections at a daemon that receives more than its part of them. */
package org.tamaracktrack.core.shedding;

/** The weight store's stand-in. */
package org.tamaracktrack.standins.weights;

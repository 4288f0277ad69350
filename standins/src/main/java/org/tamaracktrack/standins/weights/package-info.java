/** The stand-in of the weight store. */
package org.tamaracktrack.standins.weights;

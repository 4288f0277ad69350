/** The stand-in of a model engine. */
package org.tamaracktrack.standins.engine;

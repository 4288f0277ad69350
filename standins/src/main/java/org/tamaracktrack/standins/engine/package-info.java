/** The model engine's stand-in. */
package org.tamaracktrack.standins.engine;

/** The stand-in of a plain service. */
package org.tamaracktrack.standins.service;

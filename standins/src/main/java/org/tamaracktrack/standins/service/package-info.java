/** The plain service's stand-in. */
package org.tamaracktrack.standins.service;

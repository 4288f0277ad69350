/** Stand-ins: small emulators of the outside systems, for tests and for runs on one host. */
package org.tamaracktrack.standins;

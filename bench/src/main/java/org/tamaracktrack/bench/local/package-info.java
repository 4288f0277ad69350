/** Contains the command that runs the whole sample system on one host. */
package org.tamaracktrack.bench.local;

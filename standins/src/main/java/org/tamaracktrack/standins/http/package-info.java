/** What every stand-in's HTTP interface needs. */
package org.tamaracktrack.standins.http;

/**
 * The configuration that operators publish: the document with templates and parameters, its checks,
 * and the resolved form that every process works from.
 */
package org.tamaracktrack.core.config;

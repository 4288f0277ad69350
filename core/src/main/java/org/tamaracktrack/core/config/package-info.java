/**
 * The configuration that operators publish: the document with templates and parameters, its
 * validation, and the expanded form that every process uses.
 */
package org.tamaracktrack.core.config;

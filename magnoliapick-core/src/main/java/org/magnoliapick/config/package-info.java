/** The fleet configuration: a tree of settings built from the log, and its typed view. */
package org.magnoliapick.config;

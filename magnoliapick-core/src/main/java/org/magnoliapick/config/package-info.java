/** Configuration: a tree of paths folded from the log, and its typed view. */
package org.magnoliapick.config;

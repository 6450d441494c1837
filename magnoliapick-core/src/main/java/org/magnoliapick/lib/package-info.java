/** Identifiers and small values shared by all decisions. */
package org.magnoliapick.lib;

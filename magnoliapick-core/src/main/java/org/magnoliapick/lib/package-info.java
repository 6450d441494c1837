/** Identifiers and value types shared by all packages. */
package org.magnoliapick.lib;

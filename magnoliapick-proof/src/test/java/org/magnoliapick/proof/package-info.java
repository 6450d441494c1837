/** The fault matrix and the model checks. */
package org.magnoliapick.proof;

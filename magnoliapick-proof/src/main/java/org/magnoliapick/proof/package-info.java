/** The fault matrix and the models. */
package org.magnoliapick.proof;

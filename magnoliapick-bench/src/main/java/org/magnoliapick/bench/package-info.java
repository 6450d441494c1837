/** The policy bench in virtual time. */
package org.magnoliapick.bench;

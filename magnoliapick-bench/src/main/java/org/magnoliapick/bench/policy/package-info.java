/** Baseline policies, and the look-up of policies by name. */
package org.magnoliapick.bench.policy;

/** Scenarios of the bench: what is read from YAML, checked, with defaults filled in. */
package org.magnoliapick.bench.scenario;

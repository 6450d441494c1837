/** Micro-benchmarks and the slopes from which the capacity of each role is worked out. */
package org.magnoliapick.bench.capacity;

/** Decision records: what was decided, why, and under which configuration. */
package org.magnoliapick.record;

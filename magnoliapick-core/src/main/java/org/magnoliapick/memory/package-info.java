/** Decides who may hold memory on behalf of callers, and who is rejected when it is short. */
package org.magnoliapick.memory;

/** Decisions on one proxied request: attempts, retries, resumes and the final answer. */
package org.magnoliapick.relay;

/** Decisions on one request of the pass-through path: attempts, retries, resumes, final answers. */
package org.magnoliapick.relay;

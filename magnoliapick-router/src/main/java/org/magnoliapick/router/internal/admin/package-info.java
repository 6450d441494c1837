/** What the administration API needs of the process: fleet-wide questions, records, metrics. */
package org.magnoliapick.router.internal.admin;

/** The service-level burn report. */
package org.magnoliapick.report;

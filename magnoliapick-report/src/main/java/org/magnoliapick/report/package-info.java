/** The service-level report as text and as a page. */
package org.magnoliapick.report;

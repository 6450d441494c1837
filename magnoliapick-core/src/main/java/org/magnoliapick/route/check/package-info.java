/** Checks of a version of the configuration before operators send it to the fleet. */
package org.magnoliapick.route.check;

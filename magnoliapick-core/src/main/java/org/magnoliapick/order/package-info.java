/** Orders to model engines, reconciled with the configuration. */
package org.magnoliapick.order;

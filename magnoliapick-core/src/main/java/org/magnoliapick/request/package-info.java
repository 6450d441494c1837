/** The life of one request from its arrival to its final answer. */
package org.magnoliapick.request;

/** Messages between entry instances and their authenticated transport. */
package org.magnoliapick.rpc;

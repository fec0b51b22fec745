/**
 * Decisions on what is remembered of keyed invocations over a restart: what must be durable before
 * which step, who still waits for a sick disk, what becomes of a mark whose end is unknown. No
 * files, clocks or threads: time is handed in.
 */
package ochretiller.idempotency.durable;

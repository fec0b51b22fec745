/** Ties tries to their forerunners and keeps results for replay. */
package ochretiller.idempotency;

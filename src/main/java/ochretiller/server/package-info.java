/**
 * The port between admission decisions and the server that carries them out. Decisions return an
 * {@link ochretiller.server.Action}; whoever drives them executes it on its {@link
 * ochretiller.server.ServerActions}, which is the union of one interface for each role: runs,
 * answers, idempotency entries, timers and published health.
 *
 * <p>State: none. Thread: everything is called on the one thread that owns the decisions.
 * Neighbours: {@code admission} returns actions; {@code node}, {@code sim} and the emulator
 * implement them; {@code model} holds the values that are passed.
 */
package ochretiller.server;

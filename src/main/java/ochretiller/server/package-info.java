/**
 * The port between admission decisions and the server that carries them out. Decisions return an
 * {@link ochretiller.server.Action}; the host executes it on its {@link
 * ochretiller.server.ServerActions}, which combines one interface per role: runs, answers,
 * idempotency entries, timers and published health.
 *
 * <p>State: none. Thread: everything is called on the one thread that owns the decisions.
 * Dependencies: {@code admission} returns actions; {@code node}, {@code sim} and the emulator
 * implement them; {@code model} holds the values that are passed.
 */
package ochretiller.server;

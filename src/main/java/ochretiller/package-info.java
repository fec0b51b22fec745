/**
 * The program's entry point: {@link ochretiller.Main} parses the command line and runs the
 * sub-command that it names.
 *
 * <p>State: none. Thread: the main thread, which becomes the event loop of a server. Neighbours: it
 * uses {@code commands}, {@code node} for a server and {@code sim} for the simulator's wire; no
 * other package uses it.
 */
package ochretiller;

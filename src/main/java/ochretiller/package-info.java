/**
 * The program's entry point: {@link ochretiller.Main} parses the command line and runs the selected
 * sub-command.
 *
 * <p>State: none. Thread: the main thread, which runs the event loop when serving. Dependencies:
 * uses {@code commands}, {@code node} for a server and {@code sim} for the simulator's protocol; no
 * other package uses it.
 */
package ochretiller;

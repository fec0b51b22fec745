/**
 * The adapter for an external simulator of a whole fleet, which obtains the decisions of each of
 * its servers from this program over a line protocol on standard input and output.
 *
 * <p>State: {@link ochretiller.sim.SimulatorHost} holds one {@code SimulatedServer} for each server
 * of the simulator, each with its own admission controller. Thread: the one that reads the input.
 * Dependencies: {@code admission} makes the decisions, {@code settings} decodes a server's
 * settings, and {@code server} has the interfaces that are implemented here.
 */
package ochretiller.sim;

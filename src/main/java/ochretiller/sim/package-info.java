/**
 * The adapter for the simulator's wire: a protocol of lines on standard input and output, by which
 * an external simulator of a whole fleet asks this program for the decisions of each of its
 * servers.
 *
 * <p>State: {@link ochretiller.sim.SimulatorHost} holds one {@code SimulatedServer}, with an
 * admission controller of its own, for each server that the simulator names. Thread: the one that
 * serves the input. Neighbours: {@code admission} decides, {@code settings} decodes a server's
 * settings, {@code server} is the port that is implemented here.
 */
package ochretiller.sim;

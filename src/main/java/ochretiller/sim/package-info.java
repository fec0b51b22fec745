/** The adapter for the simulator's wire: it decodes lines into calls and encodes from results. */
package ochretiller.sim;

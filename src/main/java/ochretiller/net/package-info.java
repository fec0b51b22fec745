/**
 * The network under the stages: Apache MINA, connections with bounded buffers, and the schedule
 * they work to.
 */
package ochretiller.net;

/**
 * Copies of what must not happen twice: the claim of a run, and its result, kept by several
 * servers. Pure decisions: what a keeper answers, what a server may do on each mix of answers, how
 * copies that differ become one.
 */
package ochretiller.fleet.replication;

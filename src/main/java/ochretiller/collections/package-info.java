/**
 * Collections of bounded size, for data about peers or clients, whose number this server does not
 * control. No static state, no threads.
 */
package ochretiller.collections;

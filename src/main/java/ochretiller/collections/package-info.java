/**
 * Collections of bounded size. Without state of their own and without threads; used wherever
 * something is remembered for peers or clients, whose number is not known beforehand.
 */
package ochretiller.collections;

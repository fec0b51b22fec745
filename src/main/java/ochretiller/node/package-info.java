/**
 * One real server: its configuration, its one thread, and the decisions' port put together from the
 * stages.
 */
package ochretiller.node;

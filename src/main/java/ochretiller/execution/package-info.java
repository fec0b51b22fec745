/**
 * The port to the backends that execute runs. {@link ochretiller.execution.RunBackend} is
 * implemented by {@code processor}, which sends runs to the processor, and by {@code workers},
 * which sends them to uwsgi workers; {@code node} starts runs through it.
 *
 * <p>State: none; the implementations track the runs in progress. Thread: all methods are called on
 * the event loop thread.
 */
package ochretiller.execution;

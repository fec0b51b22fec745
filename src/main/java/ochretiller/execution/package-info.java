/**
 * The port to what executes runs. {@link ochretiller.execution.RunBackend} is implemented by {@code
 * processor}, which sends runs to the processor, and by {@code workers}, which sends them to uwsgi
 * workers; {@code node} starts runs through it.
 *
 * <p>State: none; the implementations hold the runs under way. Thread: everything is called on the
 * event loop thread.
 */
package ochretiller.execution;

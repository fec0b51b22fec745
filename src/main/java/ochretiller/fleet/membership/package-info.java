/**
 * Who is in the fleet, as one server sees it: pure decisions. Messages, time and chance come in;
 * messages, changes and figures go out. Driven in the same way by {@code fleet.peers} on sockets,
 * by the emulator and by tests.
 */
package ochretiller.fleet.membership;

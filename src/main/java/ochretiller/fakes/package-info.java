/**
 * Stand-ins of the outside on loopback, written from its page: processor, records service, roster,
 * and a gateway's socket. {@code try}, the rehearsal of a build and the tests use them; a server
 * never does.
 */
package ochretiller.fakes;

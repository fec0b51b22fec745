/**
 * Fakes of a server's peers on loopback, written from the specification of their protocols:
 * processor, records service, roster, uwsgi worker and gateway. They serve the {@code try} command,
 * the creation of the class archive and the tests. A server uses only {@link
 * ochretiller.fakes.FaultyDirectory}, and only in drills.
 */
package ochretiller.fakes;

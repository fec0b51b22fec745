/**
 * The uwsgi protocol, bytes to requests and answers to bytes, for a front that is called and for
 * workers that are. Own code on slices, bounded; {@code docs/uwsgi-protocol.md} tells what is
 * supported. No sockets: the stages that use it have them.
 */
package ochretiller.uwsgi;

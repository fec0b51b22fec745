/**
 * Bytes between the servers of a fleet: packets over UDP between peers, and frames over TCP for the
 * operators' commands. Nothing is decided here.
 *
 * <p><b>Job.</b> {@link ochretiller.fleet.transport.PacketCodec} encodes, seals, checks and decodes
 * the envelope of a packet; a codec for each message family does the bodies, with one pair of
 * methods a message. {@link ochretiller.fleet.transport.PeerSocket} sends and receives packets,
 * limits what a peer may send and drops replayed packets. {@link
 * ochretiller.fleet.transport.AdminEndpoint} and {@link ochretiller.fleet.transport.AdminClient}
 * are the two sides of the commands' connection. The codecs of placements and entries are used by
 * the files of the services, too.
 *
 * <p><b>State.</b> The keys of the fleet, the replay window and the rate limiter of the socket, and
 * the challenges of open connections. Codecs have none.
 *
 * <p><b>Threads.</b> The socket has a reading thread named {@code fleet}, which checks and decodes;
 * decoded packets are posted to the event loop, where sending happens, too.
 *
 * <p><b>Neighbours.</b> Above it is {@code fleet.service}; it knows the message types of {@code
 * fleet.membership}, {@code fleet.consensus}, {@code fleet.replication} and {@code fleet.rollout},
 * and {@code net} for connections and scheduling.
 *
 * <p>The format is {@code docs/fleet-wire.md}; golden files of the tests pin it.
 */
package ochretiller.fleet.transport;

/**
 * Transport between the servers of a fleet: UDP packets between peers, and TCP frames for the
 * operators' commands. Protocol decisions are made in other packages.
 *
 * <p><b>Purpose.</b> {@link ochretiller.fleet.transport.PacketCodec} encodes, seals, verifies and
 * decodes the envelope of a packet; one codec per message family handles the bodies, with a pair of
 * methods per message. {@link ochretiller.fleet.transport.PeerSocket} sends and receives packets,
 * limits the rate of each peer and drops replayed packets. {@link
 * ochretiller.fleet.transport.AdminEndpoint} and {@link ochretiller.fleet.transport.AdminClient}
 * are the server and the client of operators' commands. The codecs of placements and entries also
 * encode files of {@code fleet.service}.
 *
 * <p><b>State.</b> The keys of the fleet, the replay window and the rate limiter of the socket, and
 * the challenges of open connections. Codecs of message bodies are stateless.
 *
 * <p><b>Threads.</b> A reader thread named {@code fleet} verifies and decodes packets and posts
 * them to the event loop, which also sends packets.
 *
 * <p><b>Dependencies.</b> Used by {@code fleet.service}. Depends on the message types of {@code
 * fleet.membership}, {@code fleet.consensus}, {@code fleet.replication} and {@code fleet.rollout},
 * and on {@code net} for connections and scheduling.
 *
 * <p>{@code docs/fleet-wire.md} specifies the format; golden files of the tests pin it.
 */
package ochretiller.fleet.transport;

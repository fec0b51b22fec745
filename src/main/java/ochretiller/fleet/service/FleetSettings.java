package ochretiller.fleet.service;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import ochretiller.fleet.membership.PeerAddress;
import ochretiller.fleet.membership.ProtocolTiming;

/**
 * A server's part in a fleet, as the operators tell it.
 *
 * @param fleet its name; packets of others are refused
 * @param listen where peers and the operators' commands come to
 * @param advertise where peers are told to come to, if that is another address
 * @param serves what else is told of it: where it serves
 * @param keyFile keys that seal and open
 * @param peersFile where this server keeps whom it has seen, for its next start; or null
 * @param copies what is kept for one another, or null
 */
public record FleetSettings(
        String fleet,
        InetSocketAddress listen,
        PeerAddress advertise,
        PeerAddress serves,
        Path keyFile,
        Path peersFile,
        List<PeerAddress> seeds,
        String zone,
        ProtocolTiming pace,
        ReplicationSettings copies) {}

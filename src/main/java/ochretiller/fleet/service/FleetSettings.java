package ochretiller.fleet.service;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import ochretiller.fleet.membership.PeerAddress;
import ochretiller.fleet.membership.ProtocolTiming;

/**
 * Operators' settings for a server's membership in a fleet.
 *
 * @param fleetName name of the fleet; packets of other fleets are rejected
 * @param listenAddress address for packets from peers and for admin connections
 * @param advertisedAddress address that peers send to; null if it is the listen address
 * @param serviceAddress address for clients, announced to peers; null for the server's default
 * @param keyFile file of the keys that authenticate packets
 * @param peersFile file of known peers for the next start; null for none
 * @param seeds addresses of members through which the server joins the fleet
 * @param zone failure domain of this server
 * @param timing intervals and timeouts of the membership protocol
 * @param replication settings of replication; null if there is none
 */
public record FleetSettings(
        String fleetName,
        InetSocketAddress listenAddress,
        PeerAddress advertisedAddress,
        PeerAddress serviceAddress,
        Path keyFile,
        Path peersFile,
        List<PeerAddress> seeds,
        String zone,
        ProtocolTiming timing,
        ReplicationSettings replication) {}

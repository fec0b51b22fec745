package ochretiller.fleet.consensus;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import net.openhft.hashing.LongHashFunction;

/**
 * The value agreed on for one epoch: the servers that hold replicas, and the state of the rollout.
 * Tokens are divided into {@value #RANGE_COUNT} ranges by their hash, and the replicas of each
 * range are chosen by {@link RendezvousHashing}. Immutable; the constructor computes the replicas
 * of all ranges.
 */
public final class ReplicaPlacement {
    /** The number of token ranges: several for each of a hundred servers, few enough to list. */
    public static final int RANGE_COUNT = 256;

    /** Maximum servers: each has at least two ranges, and the list fits one packet. */
    public static final int MAX_SERVERS = 128;

    /** Maximum encoded length of both server lists in a packet, in characters. */
    private static final int MAX_SERVER_LIST_LENGTH = 5_500;

    /** Overhead of a server in a packet besides its name and zone, in characters. */
    private static final int OVERHEAD_PER_SERVER = 4;

    private static final LongHashFunction HASH = LongHashFunction.xx3();

    private final long epoch;
    private final List<ReplicaServer> servers;
    private final List<ReplicaServer> previousServers;
    private final int replicationFactor;
    private final RolloutState rollout;
    private final List<List<String>> replicas = new ArrayList<>();
    private final List<List<String>> previousReplicas = new ArrayList<>();

    /**
     * Creates a placement for a fleet in which no version has been published.
     *
     * @param previousServers the servers of the previous epoch, so that a server that missed some
     *     epochs knows whom to query
     * @param replicationFactor replicas of each range; fewer if there are not that many servers
     */
    public ReplicaPlacement(
            long epoch,
            List<ReplicaServer> servers,
            List<ReplicaServer> previousServers,
            int replicationFactor) {
        this(epoch, servers, previousServers, replicationFactor, RolloutState.NONE);
    }

    /**
     * Creates a placement.
     *
     * @param previousServers the servers of the previous epoch
     * @param replicationFactor replicas of each range; fewer if there are not that many servers
     * @param rollout the state of the rollout, which decides the version that servers use
     */
    public ReplicaPlacement(
            long epoch,
            List<ReplicaServer> servers,
            List<ReplicaServer> previousServers,
            int replicationFactor,
            RolloutState rollout) {
        this.rollout = rollout;
        this.epoch = epoch;
        this.servers = List.copyOf(servers);
        this.previousServers = List.copyOf(previousServers);
        this.replicationFactor = replicationFactor;
        for (int range = 0; range < RANGE_COUNT; range++) {
            replicas.add(RendezvousHashing.choose(this.servers, range, replicationFactor));
            previousReplicas.add(
                    RendezvousHashing.choose(this.previousServers, range, replicationFactor));
        }
    }

    /** The placement before any epoch is committed, without servers. */
    public static ReplicaPlacement empty(int replicationFactor) {
        return new ReplicaPlacement(0, List.of(), List.of(), replicationFactor);
    }

    /** The range of a token, from 0 to {@link #RANGE_COUNT} - 1. */
    public static int rangeOf(String token) {
        return (int) (HASH.hashChars(token) & (RANGE_COUNT - 1));
    }

    /** The size of a majority of this many replicas or acceptors. */
    public static int quorumSize(int count) {
        return count / 2 + 1;
    }

    /** The epoch number; 0 before any epoch is committed. */
    public long epoch() {
        return epoch;
    }

    /** The servers that hold replicas, sorted by name. */
    public List<ReplicaServer> servers() {
        return servers;
    }

    /** The servers of the previous epoch. */
    public List<ReplicaServer> previousServers() {
        return previousServers;
    }

    /** The configured replicas of each range; fewer exist if there are fewer servers. */
    public int replicationFactor() {
        return replicationFactor;
    }

    /** The state of the rollout, which decides the version that servers use. */
    public RolloutState rollout() {
        return rollout;
    }

    /** Names of the servers that hold a range, in different zones as far as possible. */
    public List<String> replicasOf(int range) {
        return replicas.get(range);
    }

    /** Names of the servers that held a range in the previous epoch. */
    public List<String> previousReplicasOf(int range) {
        return previousReplicas.get(range);
    }

    /** Whether a server of this name holds replicas. */
    public boolean contains(String name) {
        return servers.stream().anyMatch(server -> server.name().equals(name));
    }

    /** Whether the placement can be sent in one packet. */
    public boolean fitsInPacket() {
        return servers.size() <= MAX_SERVERS
                && encodedLength(servers) + encodedLength(previousServers)
                        <= MAX_SERVER_LIST_LENGTH;
    }

    private static int encodedLength(List<ReplicaServer> servers) {
        return servers.stream()
                .mapToInt(each -> each.name().length() + each.zone().length() + OVERHEAD_PER_SERVER)
                .sum();
    }

    /** The placement of the next epoch, with an additional server. */
    public ReplicaPlacement with(ReplicaServer server) {
        List<ReplicaServer> next = new ArrayList<>(servers);
        next.add(server);
        next.sort(Comparator.comparing(ReplicaServer::name));
        return new ReplicaPlacement(epoch + 1, next, servers, replicationFactor, rollout);
    }

    /** The placement of the next epoch, with the same servers and another rollout state. */
    public ReplicaPlacement with(RolloutState next) {
        return new ReplicaPlacement(epoch + 1, servers, servers, replicationFactor, next);
    }

    /** The placement of the next epoch, without the named server. */
    public ReplicaPlacement without(String name) {
        List<ReplicaServer> next =
                servers.stream().filter(server -> !server.name().equals(name)).toList();
        return new ReplicaPlacement(epoch + 1, next, servers, replicationFactor, rollout);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof ReplicaPlacement placement
                && epoch == placement.epoch
                && replicationFactor == placement.replicationFactor
                && servers.equals(placement.servers)
                && previousServers.equals(placement.previousServers)
                && rollout.equals(placement.rollout);
    }

    @Override
    public int hashCode() {
        return Objects.hash(epoch, servers, previousServers, replicationFactor, rollout);
    }

    /** The epoch, its servers and its version with the stage of a rollout, for log lines. */
    @Override
    public String toString() {
        String names = servers.stream().map(ReplicaServer::name).toList().toString();
        return "epoch " + epoch + " of " + names + describeRollout();
    }

    private String describeRollout() {
        long version = rollout.target().number();
        if (version == 0) {
            return "";
        }
        if (rollout.isComplete()) {
            return ", version " + version;
        }
        return ", version "
                + version
                + " at stage "
                + rollout.stage()
                + ' '
                + rollout.phase().externalName();
    }
}

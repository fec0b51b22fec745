package ochretiller.fleet.consensus;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import net.openhft.hashing.LongHashFunction;

/**
 * What one epoch agrees on: which servers hold replicas, and how far a rollout has come. Tokens
 * fall into {@value #RANGE_COUNT} ranges by their hash, and each range has its replicas by {@link
 * RendezvousHashing}. An immutable value; the replicas of all ranges are computed once.
 */
public final class ReplicaPlacement {
    /** Ranges of tokens: some for each of a hundred servers, few enough to be listed. */
    public static final int RANGE_COUNT = 256;

    /** Servers at most: two ranges for each at least, and a list that fits one packet. */
    public static final int MAX_SERVERS = 128;

    /**
     * Text of both epochs' servers that fits one packet with all else that is said, in characters.
     */
    private static final int MAX_TEXT = 5_500;

    /** What each server adds to its name and zone in a packet, in characters. */
    private static final int TEXT_PER_SERVER = 4;

    private static final LongHashFunction HASH = LongHashFunction.xx3();

    private final long epoch;
    private final List<ReplicaServer> servers;
    private final List<ReplicaServer> previousServers;
    private final int replicationFactor;
    private final RolloutState rollout;
    private final List<List<String>> replicas = new ArrayList<>();
    private final List<List<String>> previousReplicas = new ArrayList<>();

    /**
     * A placement of a fleet in which no version was ever published.
     *
     * @param previousServers of the epoch before: a server that has missed some epochs must still
     *     know whom to ask
     * @param replicationFactor replicas of each range, as long as there are that many servers
     */
    public ReplicaPlacement(
            long epoch,
            List<ReplicaServer> servers,
            List<ReplicaServer> previousServers,
            int replicationFactor) {
        this(epoch, servers, previousServers, replicationFactor, RolloutState.NONE);
    }

    /**
     * A placement.
     *
     * @param previousServers of the epoch before
     * @param replicationFactor replicas of each range, as long as there are that many servers
     * @param rollout which version servers act on
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

    /** The placement before any epoch is committed: no server holds anything. */
    public static ReplicaPlacement empty(int replicationFactor) {
        return new ReplicaPlacement(0, List.of(), List.of(), replicationFactor);
    }

    /** The range that a token falls into, from 0. */
    public static int rangeOf(String token) {
        return (int) (HASH.hashChars(token) & (RANGE_COUNT - 1));
    }

    /** How many of so many replicas or acceptors form a majority. */
    public static int quorumSize(int count) {
        return count / 2 + 1;
    }

    /** The number of the epoch; 0 before any is committed. */
    public long epoch() {
        return epoch;
    }

    /** The servers that hold replicas, by name. */
    public List<ReplicaServer> servers() {
        return servers;
    }

    /** The servers of the epoch before. */
    public List<ReplicaServer> previousServers() {
        return previousServers;
    }

    /** Replicas of each range, as long as there are that many servers. */
    public int replicationFactor() {
        return replicationFactor;
    }

    /** Which version servers act on. */
    public RolloutState rollout() {
        return rollout;
    }

    /** Names of the servers that hold a range, in different zones as far as there are zones. */
    public List<String> replicasOf(int range) {
        return replicas.get(range);
    }

    /** Names of the servers that held a range in the epoch before. */
    public List<String> previousReplicasOf(int range) {
        return previousReplicas.get(range);
    }

    /** Whether a server of this name holds replicas. */
    public boolean contains(String name) {
        return servers.stream().anyMatch(server -> server.name().equals(name));
    }

    /** Whether it can be sent in one packet. */
    public boolean fitsInPacket() {
        return servers.size() <= MAX_SERVERS
                && textOf(servers) + textOf(previousServers) <= MAX_TEXT;
    }

    private static int textOf(List<ReplicaServer> servers) {
        return servers.stream()
                .mapToInt(each -> each.name().length() + each.zone().length() + TEXT_PER_SERVER)
                .sum();
    }

    /** The next epoch, with one server more. */
    public ReplicaPlacement with(ReplicaServer server) {
        List<ReplicaServer> next = new ArrayList<>(servers);
        next.add(server);
        next.sort(Comparator.comparing(ReplicaServer::name));
        return new ReplicaPlacement(epoch + 1, next, servers, replicationFactor, rollout);
    }

    /** The next epoch, with the same servers and another state of rollouts. */
    public ReplicaPlacement with(RolloutState next) {
        return new ReplicaPlacement(epoch + 1, servers, servers, replicationFactor, next);
    }

    /** The next epoch, with one server less. */
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

    /** For log lines: the epoch, its servers and the version that is rolled out. */
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

package ochretiller.fleet.consensus;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import net.openhft.hashing.LongHashFunction;

/**
 * Who keeps what in one epoch. Tokens fall into ranges, and each range has its keepers by
 * rendezvous: a server that comes or goes moves only what it keeps itself. A value; who keeps a
 * range is reckoned once.
 */
public final class ReplicaPlacement {
    /** Parts into which all tokens fall: some for each of a hundred servers, few enough to list. */
    public static final int RANGE_COUNT = 256;

    /** Keepers at most: two ranges for each at the least, and a list that is soon told. */
    public static final int MAX_SERVERS = 128;

    /**
     * Characters of names and zones, of both epochs, that go with what is said about a layout in
     * one packet.
     */
    private static final int MOST_TEXT = 5_500;

    private static final LongHashFunction HASH = LongHashFunction.xx3();

    private final long epoch;
    private final List<ReplicaServer> servers;
    private final List<ReplicaServer> previousServers;
    private final int replicationFactor;
    private final RolloutState rollout;
    private final List<List<String>> replicasOf = new ArrayList<>();
    private final List<List<String>> previousReplicasOf = new ArrayList<>();

    /** A server that keeps copies; its name outlives its restarts, as its disk does. */
    public record ReplicaServer(String name, String zone) {}

    /**
     * @param former servers of the epoch before: who has missed some epochs must still know whom to
     *     ask
     * @param factor keepers of each range, as long as there are that many
     */
    public ReplicaPlacement(
            long epoch, List<ReplicaServer> servers, List<ReplicaServer> former, int factor) {
        this(epoch, servers, former, factor, RolloutState.NONE);
    }

    /**
     * @param rollout what servers act on
     */
    public ReplicaPlacement(
            long epoch,
            List<ReplicaServer> servers,
            List<ReplicaServer> former,
            int factor,
            RolloutState rollout) {
        this.rollout = rollout;
        this.epoch = epoch;
        this.servers = List.copyOf(servers);
        this.previousServers = List.copyOf(former);
        this.replicationFactor = factor;
        for (int range = 0; range < RANGE_COUNT; range++) {
            replicasOf.add(choose(this.servers, range));
            previousReplicasOf.add(choose(this.previousServers, range));
        }
    }

    /** Before any epoch is agreed on: nobody keeps anything. */
    public static ReplicaPlacement empty(int factor) {
        return new ReplicaPlacement(0, List.of(), List.of(), factor);
    }

    public long epoch() {
        return epoch;
    }

    public List<ReplicaServer> servers() {
        return servers;
    }

    /** Servers of the epoch before. */
    public List<ReplicaServer> previousServers() {
        return previousServers;
    }

    public int replicationFactor() {
        return replicationFactor;
    }

    public RolloutState rollout() {
        return rollout;
    }

    /** The range that a token falls into. */
    public static int rangeOf(String token) {
        return (int) (HASH.hashChars(token) & (RANGE_COUNT - 1));
    }

    /** Names of a range's keepers: the highest draws, zones apart as far as there are zones. */
    public List<String> replicasOf(int range) {
        return replicasOf.get(range);
    }

    /** Names of those that kept a range in the epoch before. */
    public List<String> previousReplicasOf(int range) {
        return previousReplicasOf.get(range);
    }

    private List<String> choose(List<ReplicaServer> among, int range) {
        List<ReplicaServer> order = new ArrayList<>(among);
        order.sort(
                Comparator.comparingLong(
                                (ReplicaServer each) ->
                                        HASH.hashLongs(
                                                new long[] {range, HASH.hashChars(each.name)}))
                        .reversed()
                        .thenComparing(ReplicaServer::name));
        List<String> chosen = new ArrayList<>();
        Set<String> zones = new HashSet<>();
        for (ReplicaServer each : order) {
            if (chosen.size() < replicationFactor && zones.add(each.zone)) {
                chosen.add(each.name);
            }
        }
        for (ReplicaServer each : order) {
            if (chosen.size() < replicationFactor && !chosen.contains(each.name)) {
                chosen.add(each.name);
            }
        }
        return List.copyOf(chosen);
    }

    /** How many of a range's keepers have to agree. */
    public static int quorumSize(int keepers) {
        return keepers / 2 + 1;
    }

    /** Whether it can be told in one packet. */
    public boolean fitsInPacket() {
        return servers.size() <= MAX_SERVERS && text(servers) + text(previousServers) <= MOST_TEXT;
    }

    private static int text(List<ReplicaServer> servers) {
        return servers.stream().mapToInt(each -> each.name.length() + each.zone.length() + 4).sum();
    }

    public boolean contains(String name) {
        return servers.stream().anyMatch(each -> each.name.equals(name));
    }

    /** The next epoch, with one more. */
    public ReplicaPlacement with(ReplicaServer server) {
        List<ReplicaServer> next = new ArrayList<>(servers);
        next.add(server);
        next.sort(Comparator.comparing(ReplicaServer::name));
        return new ReplicaPlacement(epoch + 1, next, servers, replicationFactor, rollout);
    }

    /** The next epoch, with the same keepers. */
    public ReplicaPlacement with(RolloutState next) {
        return new ReplicaPlacement(epoch + 1, servers, servers, replicationFactor, next);
    }

    /** The next epoch, with one less. */
    public ReplicaPlacement without(String name) {
        return new ReplicaPlacement(
                epoch + 1,
                servers.stream().filter(each -> !each.name.equals(name)).toList(),
                servers,
                replicationFactor,
                rollout);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof ReplicaPlacement layout
                && epoch == layout.epoch
                && replicationFactor == layout.replicationFactor
                && servers.equals(layout.servers)
                && previousServers.equals(layout.previousServers)
                && rollout.equals(layout.rollout);
    }

    @Override
    public int hashCode() {
        return Objects.hash(epoch, servers, previousServers, replicationFactor, rollout);
    }

    @Override
    public String toString() {
        String versions =
                rollout.target().number() == 0
                        ? ""
                        : ", version "
                                + rollout.target().number()
                                + (rollout.isComplete()
                                        ? ""
                                        : " at stage "
                                                + rollout.stage()
                                                + ' '
                                                + rollout.phase().externalName());
        return "epoch "
                + epoch
                + " of "
                + servers.stream().map(ReplicaServer::name).toList()
                + versions;
    }
}

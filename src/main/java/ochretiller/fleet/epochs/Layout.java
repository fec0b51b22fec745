package ochretiller.fleet.epochs;

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
public final class Layout {
    /** Parts into which all tokens fall: some for each of a hundred servers, few enough to list. */
    public static final int RANGES = 256;

    /** Keepers at most: two ranges for each at the least, and a list that is soon told. */
    public static final int MOST = 128;

    /**
     * Characters of names and zones, of both epochs, that go with what is said about a layout in
     * one packet.
     */
    private static final int MOST_TEXT = 5_500;

    private static final LongHashFunction HASH = LongHashFunction.xx3();

    private final long epoch;
    private final List<Server> servers;
    private final List<Server> former;
    private final int factor;
    private final Rollout rollout;
    private final List<List<String>> keepers = new ArrayList<>();
    private final List<List<String>> formerKeepers = new ArrayList<>();

    /** A server that keeps copies; its name outlives its restarts, as its disk does. */
    public record Server(String name, String zone) {}

    /**
     * @param former servers of the epoch before: who has missed some epochs must still know whom to
     *     ask
     * @param factor keepers of each range, as long as there are that many
     */
    public Layout(long epoch, List<Server> servers, List<Server> former, int factor) {
        this(epoch, servers, former, factor, Rollout.NONE);
    }

    /**
     * @param rollout what servers act on
     */
    public Layout(
            long epoch, List<Server> servers, List<Server> former, int factor, Rollout rollout) {
        this.rollout = rollout;
        this.epoch = epoch;
        this.servers = List.copyOf(servers);
        this.former = List.copyOf(former);
        this.factor = factor;
        for (int range = 0; range < RANGES; range++) {
            keepers.add(choose(this.servers, range));
            formerKeepers.add(choose(this.former, range));
        }
    }

    /** Before any epoch is agreed on: nobody keeps anything. */
    public static Layout none(int factor) {
        return new Layout(0, List.of(), List.of(), factor);
    }

    public long epoch() {
        return epoch;
    }

    public List<Server> servers() {
        return servers;
    }

    /** Servers of the epoch before. */
    public List<Server> former() {
        return former;
    }

    public int factor() {
        return factor;
    }

    public Rollout rollout() {
        return rollout;
    }

    /** The range that a token falls into. */
    public static int range(String token) {
        return (int) (HASH.hashChars(token) & (RANGES - 1));
    }

    /** Names of a range's keepers: the highest draws, zones apart as far as there are zones. */
    public List<String> keepers(int range) {
        return keepers.get(range);
    }

    /** Names of those that kept a range in the epoch before. */
    public List<String> formerKeepers(int range) {
        return formerKeepers.get(range);
    }

    private List<String> choose(List<Server> among, int range) {
        List<Server> order = new ArrayList<>(among);
        order.sort(
                Comparator.comparingLong(
                                (Server each) ->
                                        HASH.hashLongs(
                                                new long[] {range, HASH.hashChars(each.name)}))
                        .reversed()
                        .thenComparing(Server::name));
        List<String> chosen = new ArrayList<>();
        Set<String> zones = new HashSet<>();
        for (Server each : order) {
            if (chosen.size() < factor && zones.add(each.zone)) {
                chosen.add(each.name);
            }
        }
        for (Server each : order) {
            if (chosen.size() < factor && !chosen.contains(each.name)) {
                chosen.add(each.name);
            }
        }
        return List.copyOf(chosen);
    }

    /** How many of a range's keepers have to agree. */
    public static int majority(int keepers) {
        return keepers / 2 + 1;
    }

    /** Whether it can be told in one packet. */
    public boolean fits() {
        return servers.size() <= MOST && text(servers) + text(former) <= MOST_TEXT;
    }

    private static int text(List<Server> servers) {
        return servers.stream().mapToInt(each -> each.name.length() + each.zone.length() + 4).sum();
    }

    public boolean has(String name) {
        return servers.stream().anyMatch(each -> each.name.equals(name));
    }

    /** The next epoch, with one more. */
    public Layout with(Server server) {
        List<Server> next = new ArrayList<>(servers);
        next.add(server);
        next.sort(Comparator.comparing(Server::name));
        return new Layout(epoch + 1, next, servers, factor, rollout);
    }

    /** The next epoch, with the same keepers. */
    public Layout with(Rollout next) {
        return new Layout(epoch + 1, servers, servers, factor, next);
    }

    /** The next epoch, with one less. */
    public Layout without(String name) {
        return new Layout(
                epoch + 1,
                servers.stream().filter(each -> !each.name.equals(name)).toList(),
                servers,
                factor,
                rollout);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof Layout layout
                && epoch == layout.epoch
                && factor == layout.factor
                && servers.equals(layout.servers)
                && former.equals(layout.former)
                && rollout.equals(layout.rollout);
    }

    @Override
    public int hashCode() {
        return Objects.hash(epoch, servers, former, factor, rollout);
    }

    @Override
    public String toString() {
        String versions =
                rollout.to().number() == 0
                        ? ""
                        : ", version "
                                + rollout.to().number()
                                + (rollout.over()
                                        ? ""
                                        : " at stage "
                                                + rollout.stage()
                                                + ' '
                                                + rollout.state().externalName());
        return "epoch " + epoch + " of " + servers.stream().map(Server::name).toList() + versions;
    }
}

package ochretiller.emulator.fleet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import net.openhft.hashing.LongHashFunction;
import ochretiller.fleet.consensus.ReplicaPlacement;
import ochretiller.fleet.consensus.ReplicaServer;
import ochretiller.fleet.replication.ClaimCoordinator;
import ochretiller.fleet.replication.ClaimDecision;
import ochretiller.fleet.replication.ClaimIntent;
import ochretiller.fleet.replication.ClaimOutcome;
import ochretiller.fleet.replication.CompletedClaim;
import ochretiller.fleet.replication.OutboundMessage;
import ochretiller.fleet.replication.Replica;
import ochretiller.fleet.replication.ReplicaLimits;
import ochretiller.fleet.replication.ReplicaSnapshot;
import ochretiller.fleet.replication.ReplicationMessage;

/**
 * Two servers that are asked for one token at once, three keepers, and a change of epoch that puts
 * a fourth in the place of one. Any message may come at any time or never; any server may learn of
 * the epoch at any time, be ended for good, and a keeper may come back with its disk or without it.
 * At most one run is ever begun, and all that is said to have ended has ended so.
 */
public final class ClaimStateModel implements StateModel {
    private static final String TOKEN = "token";
    private static final Duration WINDOW = Duration.ofSeconds(60);
    private static final Duration DUE = Duration.ofSeconds(10);

    /** One look at the clock: a question is said again by then. */
    private static final Duration STEP = Duration.ofMillis(310);

    private static final int SERVERS = 2;
    private static final int KEEPERS = 4;

    /** Messages under way at once; what comes on top is lost. */
    private static final int UNDER_WAY = 14;

    private static final int SETTLES = 60;
    private static final List<ReplicaServer> THREE = List.of(server(0), server(1), server(2));

    /** Reckoned once: each path is played anew. */
    private static final ReplicaPlacement FIRST = new ReplicaPlacement(1, THREE, List.of(), 3);

    private static final ReplicaPlacement SECOND =
            new ReplicaPlacement(2, List.of(server(0), server(1), server(3)), THREE, 3);

    private final int crashes;
    private final boolean planted;
    private final Replica[] keepers = new Replica[KEEPERS];
    private final ClaimCoordinator[] servers = new ClaimCoordinator[SERVERS];
    private final boolean[] dead = new boolean[SERVERS];
    private final Duration[] clocks = new Duration[SERVERS + KEEPERS];
    private final List<Sent> underWay = new ArrayList<>();
    private final List<ClaimDecision> running = new ArrayList<>();
    private final List<String> verdicts = new ArrayList<>();
    private final Set<String> results = new HashSet<>();
    private int runs;
    private int crashed;
    private String broken;

    private record Sent(String from, String to, ReplicationMessage message) {}

    /**
     * @param crashes ends of servers and returns of keepers, at most
     * @param planted whether keepers forget what they granted when they come back, which has to be
     *     found
     */
    public ClaimStateModel(int crashes, boolean planted) {
        this.crashes = crashes;
        this.planted = planted;
        for (int i = 0; i < KEEPERS; i++) {
            keepers[i] =
                    Replica.recover(
                            "k" + i,
                            new ReplicaSnapshot(FIRST, Map.of()),
                            ReplicaLimits.ofEntries(100, WINDOW),
                            Duration.ZERO);
        }
        for (int i = 0; i < clocks.length; i++) {
            clocks[i] = Duration.ZERO;
        }
        for (int i = 0; i < SERVERS; i++) {
            int server = i;
            servers[i] = new ClaimCoordinator("s" + i, 1, FIRST, new ConstantRandom());
            running.add(null);
            verdicts.add("");
            servers[i].claim(
                    new ClaimIntent(TOKEN, "body", false, DUE, WINDOW),
                    Duration.ZERO,
                    verdict -> told(server, verdict));
            take(i);
        }
    }

    private static ReplicaServer server(int number) {
        return new ReplicaServer("k" + number, "z");
    }

    private void told(int server, ClaimDecision verdict) {
        verdicts.set(server, verdict.kind().name());
        if (verdict.kind() == ClaimDecision.Kind.RUN) {
            running.set(server, verdict);
            if (++runs > 1) {
                broken = "two runs";
            }
        } else if (verdict.kind() == ClaimDecision.Kind.REPLAY
                && !results.contains(verdict.outcome().orElseThrow().result())) {
            broken = "replayed what never was: " + verdict.outcome();
        }
    }

    private void take(int node) {
        String name = node < SERVERS ? "s" + node : "k" + (node - SERVERS);
        for (OutboundMessage out :
                node < SERVERS
                        ? servers[node].takeOutbound()
                        : keepers[node - SERVERS].takeOutbound()) {
            // Only the first keeper that is asked for a range that nobody has changed matters here:
            // other ranges stay empty.
            if (out.message() instanceof ReplicationMessage.RangeRequest fetch
                    && fetch.range() != ReplicaPlacement.rangeOf(TOKEN)) {
                continue;
            }
            if (underWay.size() < UNDER_WAY) {
                underWay.add(new Sent(name, out.recipient(), out.message()));
            }
        }
    }

    private void deliver(int which) {
        Sent sent = underWay.remove(which);
        int number = sent.to.charAt(1) - '0';
        if (sent.to.charAt(0) == 's') {
            if (dead[number]) {
                return;
            }
            if (sent.message instanceof ReplicationMessage.ClaimReply answer
                    && answer.vote() == ReplicationMessage.ClaimVote.STALE_EPOCH) {
                servers[number].adoptPlacement(SECOND, clocks[number]);
            }
            servers[number].receive(sent.from, sent.message, clocks[number]);
            take(number);
        } else {
            keepers[number].receive(sent.from, sent.message, clocks[SERVERS + number]);
            take(SERVERS + number);
        }
    }

    private void time(int node) {
        clocks[node] = clocks[node].plus(STEP);
        if (node < SERVERS) {
            servers[node].tick(clocks[node]);
        } else {
            keepers[node - SERVERS].tick(clocks[node]);
        }
        take(node);
    }

    private void learn(int node) {
        if (node < SERVERS) {
            servers[node].adoptPlacement(SECOND, clocks[node]);
        } else {
            keepers[node - SERVERS].adoptPlacement(SECOND, clocks[node]);
        }
        take(node);
    }

    private void finish(int server) {
        ClaimDecision verdict = running.set(server, null);
        String result = "by s" + server;
        results.add(result);
        servers[server].reportOutcome(
                new CompletedClaim(
                        verdict.claimId().orElseThrow(),
                        new ClaimOutcome(true, "body", result),
                        Optional.empty(),
                        DUE,
                        WINDOW),
                clocks[server],
                kept -> verdicts.set(server, "ENDED " + kept));
        take(server);
    }

    /**
     * In this order: time of each, what each learns, ends of runs, crashes and returns, messages.
     */
    @Override
    public boolean act(int action) {
        int nodes = SERVERS + KEEPERS;
        int rest = action;
        if (rest < nodes) {
            if (rest < SERVERS && dead[rest]
                    || rest >= SERVERS && keepers[rest - SERVERS].laggingRangeCount() == 0) {
                return false;
            }
            time(rest);
            return true;
        }
        rest -= nodes;
        if (rest < nodes) {
            long epoch =
                    rest < SERVERS
                            ? servers[rest].placement().epoch()
                            : keepers[rest - SERVERS].placement().epoch();
            if (epoch == 2 || rest < SERVERS && dead[rest]) {
                return false;
            }
            learn(rest);
            return true;
        }
        rest -= nodes;
        if (rest < SERVERS) {
            if (dead[rest] || running.get(rest) == null) {
                return false;
            }
            finish(rest);
            return true;
        }
        rest -= SERVERS;
        if (rest < SERVERS) {
            if (dead[rest] || crashed == crashes) {
                return false;
            }
            crashed++;
            dead[rest] = true;
            return true;
        }
        rest -= SERVERS;
        if (rest < KEEPERS) {
            if (crashed == crashes) {
                return false;
            }
            crashed++;
            ReplicaPlacement layout = keepers[rest].placement();
            ReplicaLimits limits = ReplicaLimits.ofEntries(100, WINDOW);
            Duration now = clocks[SERVERS + rest];
            keepers[rest] =
                    planted
                            ? Replica.recover(
                                    "k" + rest, new ReplicaSnapshot(layout, Map.of()), limits, now)
                            : Replica.withoutDisk("k" + rest, layout, 0, limits, now);
            return true;
        }
        rest -= KEEPERS;
        if (rest >= underWay.size()) {
            return false;
        }
        deliver(rest);
        return true;
    }

    @Override
    public int actions() {
        return 2 * (SERVERS + KEEPERS) + 2 * SERVERS + KEEPERS + underWay.size();
    }

    @Override
    public long fingerprint() {
        StringBuilder text = new StringBuilder(2048);
        for (int i = 0; i < SERVERS; i++) {
            text.append(
                            dead[i]
                                    ? "dead"
                                    : servers[i].describeState(clocks[i]) + DUE.minus(clocks[i]))
                    .append(verdicts.get(i))
                    .append(running.get(i) != null);
        }
        for (int i = 0; i < KEEPERS; i++) {
            text.append(keepers[i].describeState(clocks[SERVERS + i]));
        }
        text.append(underWay.stream().map(Sent::toString).sorted().toList())
                .append(crashed)
                .append(runs);
        return LongHashFunction.xx3().hashChars(text);
    }

    @Override
    public String broken() {
        return broken;
    }

    /** Each try has its verdict once its due time is over, whatever became of the messages. */
    @Override
    public int settles() {
        for (int i = 0; i < SETTLES; i++) {
            boolean open = false;
            for (int s = 0; s < SERVERS; s++) {
                open |= !dead[s] && verdicts.get(s).isEmpty();
            }
            if (!open) {
                return broken == null ? i : -1;
            }
            for (int s = 0; s < SERVERS; s++) {
                if (!dead[s]) {
                    time(s);
                }
            }
            while (!underWay.isEmpty()) {
                deliver(0);
            }
        }
        return -1;
    }
}

package ochretiller.tools;

import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import ochretiller.fleet.consensus.ReplicaPlacement;
import ochretiller.fleet.consensus.ReplicaServer;
import ochretiller.fleet.membership.Member;
import ochretiller.fleet.membership.MemberId;
import ochretiller.fleet.membership.MemberState;
import ochretiller.fleet.membership.PeerAddress;
import ochretiller.fleet.replication.ClaimId;
import ochretiller.fleet.replication.ClaimOutcome;
import ochretiller.fleet.replication.OutboundMessage;
import ochretiller.fleet.replication.Replica;
import ochretiller.fleet.replication.ReplicaEntry;
import ochretiller.fleet.replication.ReplicaLimits;
import ochretiller.fleet.replication.ReplicaSnapshot;
import ochretiller.fleet.replication.ReplicationMessage;
import ochretiller.fleet.transport.FleetKeys;
import ochretiller.fleet.transport.PacketCodec;

/**
 * What it takes to make copies equal: three keepers, one of which lacks some or all, exchange
 * sealed packets in one process, without a wire between them. Bytes are those of whole packets
 * beside the entries that differ, encoded by themselves.
 */
final class CopiesBench {
    private static final Duration WINDOW = Duration.ofHours(1);
    private static final Duration BEAT = Duration.ofMillis(20);

    /** No allowance: what the exchange itself takes is measured. */
    private static final double FREE = 1e12;

    private static final int RESULT = 200;

    /** Beats without a word: what was not answered would have been asked again by then. */
    private static final int QUIET = 20;

    private static final List<ReplicaServer> THREE =
            List.of(
                    new ReplicaServer("a", "1"),
                    new ReplicaServer("b", "2"),
                    new ReplicaServer("c", "3"));
    private static final ReplicaPlacement LAYOUT = new ReplicaPlacement(3, THREE, THREE, 3);

    private final SplittableRandom chance = new SplittableRandom(11);
    private final PacketCodec codec;
    private final Member member =
            new Member(
                    new MemberId("a", 7),
                    new PeerAddress("127.0.0.1", 1),
                    "1",
                    "bench",
                    Optional.empty(),
                    1,
                    MemberState.ALIVE);
    private long packets;
    private long bytes;

    CopiesBench() throws Exception {
        Path key = Files.createTempFile("copies", "key");
        Files.writeString(key, "a key that only benches have");
        codec = new PacketCodec("bench", FleetKeys.read(key));
        Files.delete(key);
    }

    private int sealed(Object message) {
        return codec.seal(member, message, 1).length;
    }

    private Replica keeper(String name, Map<String, ReplicaEntry> entries) {
        return Replica.recover(
                name,
                new ReplicaSnapshot(LAYOUT, entries),
                new ReplicaLimits(10_000_000, Long.MAX_VALUE, FREE, WINDOW),
                Duration.ZERO);
    }

    private Map<String, ReplicaEntry> entries(int count) {
        Map<String, ReplicaEntry> all = new HashMap<>();
        for (int i = 0; i < count; i++) {
            ClaimId id = new ClaimId("server-" + chance.nextInt(5), chance.nextLong(), i);
            String body =
                    "order "
                            + Long.toHexString(chance.nextLong())
                            + Long.toHexString(chance.nextLong())
                            + Long.toHexString(chance.nextLong());
            ClaimOutcome outcome =
                    new ClaimOutcome(
                            true, body, "r".repeat(RESULT - 20) + String.format("%020d", i));
            all.put(
                    String.format("%016x%016x", chance.nextLong(), chance.nextLong()),
                    new ReplicaEntry(
                            Map.of(id, body), java.util.Set.of(), Map.of(id, outcome), WINDOW));
        }
        return all;
    }

    private long encoded(Map<String, ReplicaEntry> entries) {
        long all = 0;
        int empty = page(List.of());
        for (Map.Entry<String, ReplicaEntry> each : entries.entrySet()) {
            all +=
                    page(
                                    List.of(
                                            new ReplicationMessage.TransferredEntry(
                                                    each.getKey(), each.getValue(), WINDOW)))
                            - empty;
        }
        return all;
    }

    private int page(List<ReplicationMessage.TransferredEntry> items) {
        return sealed(
                new ReplicationMessage.RangePage(
                        3,
                        1,
                        1,
                        items,
                        new ReplicationMessage.RangeCursor(1, ""),
                        true,
                        true,
                        true,
                        List.of(),
                        1,
                        1));
    }

    private record Sent(String from, OutboundMessage out) {}

    /** Until nothing more is said; the asker has to have all by then. */
    private void exchange(Map<String, Replica> keepers, Replica asker, int size) {
        packets = 0;
        bytes = 0;
        Deque<Sent> underWay = new ArrayDeque<>();
        Duration now = Duration.ZERO;
        int beats = 0;
        int quiet = 0;
        while (quiet < QUIET && beats < 1_000_000) {
            now = now.plus(BEAT);
            beats++;
            asker.tick(now);
            int said = 0;
            for (OutboundMessage out : asker.takeOutbound()) {
                underWay.add(new Sent("a", out));
            }
            while (!underWay.isEmpty()) {
                Sent sent = underWay.poll();
                said++;
                packets++;
                bytes += sealed(sent.out.message());
                Replica to = keepers.get(sent.out.recipient());
                to.receive(sent.from, sent.out.message(), now);
                for (OutboundMessage back : to.takeOutbound()) {
                    underWay.add(new Sent(sent.out.recipient(), back));
                }
            }
            quiet = said == 0 ? quiet + 1 : 0;
        }
        if (asker.statistics().entries() != size) {
            throw new IllegalStateException(
                    "it has " + asker.statistics().entries() + " of " + size);
        }
    }

    void run(boolean quick) throws Exception {
        ResultTable table =
                new ResultTable(
                        "copies-catch-up",
                        "entries",
                        "lacks",
                        "fetched",
                        "entries a second",
                        "packets",
                        "bytes",
                        "bytes that differ",
                        "ratio");
        Map<String, List<double[]>> series = new HashMap<>();
        for (int count : quick ? new int[] {10_000} : new int[] {10_000, 100_000}) {
            Map<String, ReplicaEntry> all = entries(count);
            Replica b = keeper("b", all);
            Replica c = keeper("c", all);
            for (double lacks : new double[] {0, 0.0001, 0.001, 0.01, 0.1, 1}) {
                Map<String, ReplicaEntry> some = new HashMap<>(all);
                Map<String, ReplicaEntry> differ = new HashMap<>();
                List<String> tokens = new ArrayList<>(all.keySet());
                int missing = (int) Math.round(count * lacks);
                for (int i = 0; i < missing; i++) {
                    String token = tokens.get(i);
                    differ.put(token, some.remove(token));
                }
                // One that was away asks whoever has something else, as comparisons of all ranges
                // find it.
                Replica a = keeper("a", some);
                long differing = encoded(differ);
                long began = System.nanoTime();
                a.compareAllRanges();
                exchange(Map.of("a", a, "b", b, "c", c), a, count);
                double seconds = (System.nanoTime() - began) / 1e9;
                table.row(
                        count,
                        String.format(Locale.ROOT, "%.4f", lacks),
                        a.statistics().receivedEntries(),
                        missing == 0 ? 0.0 : missing / seconds,
                        packets,
                        bytes,
                        differing,
                        differing == 0 ? 0.0 : (double) bytes / differing);
                if (missing > 0) {
                    series.computeIfAbsent(count + " entries", ignored -> new ArrayList<>())
                            .add(new double[] {lacks * 100, (double) bytes / differing});
                }
            }
        }
        table.keep();
        Charts.lines(
                "copies-catch-up.svg",
                "Bytes of a catch-up beside the bytes that differ",
                "entries that are lacking, %",
                "bytes beside those that differ",
                true,
                series);
    }
}

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
 * Measures how a replica that lacks some or all entries catches up with two others. They exchange
 * sealed packets within one process, without a network. The bytes of all packets are compared with
 * those of the missing entries, each encoded alone.
 */
final class CopiesBench {
    private static final Duration WINDOW = Duration.ofHours(1);
    private static final Duration TICK = Duration.ofMillis(20);

    /** A rate that does not limit the transfer: the cost of the exchange itself is measured. */
    private static final double UNLIMITED_BYTES_PER_SECOND = 1e12;

    private static final int RESULT_CHARS = 200;

    /** An exchange is over after so many idle ticks; unanswered requests are repeated sooner. */
    private static final int QUIET_TICKS = 20;

    private static final List<ReplicaServer> SERVERS =
            List.of(
                    new ReplicaServer("a", "1"),
                    new ReplicaServer("b", "2"),
                    new ReplicaServer("c", "3"));
    private static final ReplicaPlacement PLACEMENT = new ReplicaPlacement(3, SERVERS, SERVERS, 3);

    private final SplittableRandom random = new SplittableRandom(11);
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
        Path keyFile = Files.createTempFile("copies", "key");
        Files.writeString(keyFile, "a key that only benches have");
        codec = new PacketCodec("bench", FleetKeys.read(keyFile));
        Files.delete(keyFile);
    }

    private int sealedBytes(Object message) {
        return codec.seal(member, message, 1).length;
    }

    private Replica newReplica(String name, Map<String, ReplicaEntry> entries) {
        return Replica.recover(
                name,
                new ReplicaSnapshot(PLACEMENT, entries),
                new ReplicaLimits(10_000_000, Long.MAX_VALUE, UNLIMITED_BYTES_PER_SECOND, WINDOW),
                Duration.ZERO);
    }

    private Map<String, ReplicaEntry> randomEntries(int count) {
        Map<String, ReplicaEntry> entries = new HashMap<>();
        for (int i = 0; i < count; i++) {
            ClaimId id = new ClaimId("server-" + random.nextInt(5), random.nextLong(), i);
            String fingerprint =
                    "order "
                            + Long.toHexString(random.nextLong())
                            + Long.toHexString(random.nextLong())
                            + Long.toHexString(random.nextLong());
            ClaimOutcome outcome =
                    new ClaimOutcome(
                            true,
                            fingerprint,
                            "r".repeat(RESULT_CHARS - 20) + String.format("%020d", i));
            entries.put(
                    String.format("%016x%016x", random.nextLong(), random.nextLong()),
                    new ReplicaEntry(
                            Map.of(id, fingerprint),
                            java.util.Set.of(),
                            Map.of(id, outcome),
                            WINDOW));
        }
        return entries;
    }

    private long encodedBytes(Map<String, ReplicaEntry> entries) {
        long total = 0;
        int emptyPageBytes = pageBytes(List.of());
        for (Map.Entry<String, ReplicaEntry> each : entries.entrySet()) {
            total +=
                    pageBytes(
                                    List.of(
                                            new ReplicationMessage.TransferredEntry(
                                                    each.getKey(), each.getValue(), WINDOW)))
                            - emptyPageBytes;
        }
        return total;
    }

    private int pageBytes(List<ReplicationMessage.TransferredEntry> entries) {
        return sealedBytes(
                new ReplicationMessage.RangePage(
                        3,
                        1,
                        1,
                        entries,
                        new ReplicationMessage.RangeCursor(1, ""),
                        true,
                        true,
                        true,
                        List.of(),
                        1,
                        1));
    }

    private record InTransit(String sender, OutboundMessage outbound) {}

    /** Exchanges messages until none follow; the incomplete replica must then have all entries. */
    private void exchange(Map<String, Replica> replicas, Replica incomplete, int expectedEntries) {
        packets = 0;
        bytes = 0;
        Deque<InTransit> inTransit = new ArrayDeque<>();
        Duration now = Duration.ZERO;
        int ticks = 0;
        int quietTicks = 0;
        while (quietTicks < QUIET_TICKS && ticks < 1_000_000) {
            now = now.plus(TICK);
            ticks++;
            incomplete.tick(now);
            int delivered = 0;
            for (OutboundMessage outbound : incomplete.takeOutbound()) {
                inTransit.add(new InTransit("a", outbound));
            }
            while (!inTransit.isEmpty()) {
                InTransit next = inTransit.poll();
                delivered++;
                packets++;
                bytes += sealedBytes(next.outbound.message());
                Replica recipient = replicas.get(next.outbound.recipient());
                recipient.receive(next.sender, next.outbound.message(), now);
                for (OutboundMessage reply : recipient.takeOutbound()) {
                    inTransit.add(new InTransit(next.outbound.recipient(), reply));
                }
            }
            quietTicks = delivered == 0 ? quietTicks + 1 : 0;
        }
        if (incomplete.statistics().entries() != expectedEntries) {
            throw new IllegalStateException(
                    "the replica has "
                            + incomplete.statistics().entries()
                            + " entries instead of "
                            + expectedEntries);
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
            Map<String, ReplicaEntry> all = randomEntries(count);
            Replica b = newReplica("b", all);
            Replica c = newReplica("c", all);
            for (double missingShare : new double[] {0, 0.0001, 0.001, 0.01, 0.1, 1}) {
                Map<String, ReplicaEntry> present = new HashMap<>(all);
                Map<String, ReplicaEntry> missing = new HashMap<>();
                List<String> tokens = new ArrayList<>(all.keySet());
                int missingCount = (int) Math.round(count * missingShare);
                for (int i = 0; i < missingCount; i++) {
                    String token = tokens.get(i);
                    missing.put(token, present.remove(token));
                }
                // A replica that was away compares all its ranges with the other replicas, and
                // fetches entries from those that differ.
                Replica a = newReplica("a", present);
                long missingBytes = encodedBytes(missing);
                long start = System.nanoTime();
                a.compareAllRanges();
                exchange(Map.of("a", a, "b", b, "c", c), a, count);
                double seconds = (System.nanoTime() - start) / 1e9;
                table.addRow(
                        count,
                        String.format(Locale.ROOT, "%.4f", missingShare),
                        a.statistics().receivedEntries(),
                        missingCount == 0 ? 0.0 : missingCount / seconds,
                        packets,
                        bytes,
                        missingBytes,
                        missingBytes == 0 ? 0.0 : (double) bytes / missingBytes);
                if (missingCount > 0) {
                    series.computeIfAbsent(count + " entries", ignored -> new ArrayList<>())
                            .add(new double[] {missingShare * 100, (double) bytes / missingBytes});
                }
            }
        }
        table.save();
        Charts.saveLineChart(
                "copies-catch-up.svg",
                "Bytes of a catch-up beside the bytes that differ",
                "entries that are lacking, %",
                "bytes beside those that differ",
                true,
                series);
    }
}

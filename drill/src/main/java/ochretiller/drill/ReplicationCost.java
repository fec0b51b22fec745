package ochretiller.drill;

import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import ochretiller.emulator.fleet.FleetScenario;
import ochretiller.emulator.fleet.FleetScenarioReader;
import ochretiller.fakes.DaemonThreads;
import ochretiller.fakes.FakeConnection;
import ochretiller.fakes.GatewayMessages;

/**
 * What copies cost: keyed and idempotent invocations at servers that keep copies, on a disk or in
 * memory, and at servers that do not.
 */
final class ReplicationCost {
    /** Bytes of a sealed claim and of its answer, echoed beside the load for a bare round trip. */
    private static final int PACKET = 300;

    private static final int WARM_S = 3;

    /** What is measured. */
    enum Kind {
        /** Servers for themselves; copies in memory; copies on disk. */
        NONE,
        MEMORY,
        DISK,
        /** On disk, and all that the last server says comes late. */
        SLOW,
        /** On disk, with the first server cut off from all others: what its callers get. */
        MINORITY;

        boolean copies() {
            return this != NONE;
        }

        boolean store() {
            return this != NONE && this != MEMORY;
        }
    }

    /**
     * @param callers of each server: half of them send keyed invocations, half idempotent ones
     * @param pauseMs between two of a caller
     * @param links whether the drill's links lie between the servers, as they do for faults in any
     *     case
     * @param slowMs by how much words of a slow keeper come late
     */
    record Asked(
            int members, int callers, int seconds, int pauseMs, boolean links, double slowMs) {}

    private final Asked asked;
    private final Consumer<String> progress;

    ReplicationCost(Asked asked, Consumer<String> progress) {
        this.asked = asked;
        this.progress = progress;
    }

    /** Times of one kind, microseconds. */
    private static final class Times {
        private final List<Long> micros = new ArrayList<>();

        synchronized void add(long nanos) {
            micros.add(nanos / 1000);
        }

        synchronized double ms(double percentile) {
            long[] all = micros.stream().mapToLong(Long::longValue).sorted().toArray();
            return all.length == 0
                    ? Double.NaN
                    : all[(int) Math.min(all.length - 1, all.length * percentile / 100)] / 1e3;
        }

        synchronized int count() {
            return micros.size();
        }
    }

    /** One row: how copies are kept, and what came of the load. */
    String row(Path folder, Kind kind) throws Exception {
        int members = asked.members;
        String slow =
                kind == Kind.SLOW
                        ? ", incidents: [ { at_s: 0, for_s: 900, what: 'delay', from: '"
                                + members
                                + "', strength: "
                                + asked.slowMs
                                + " } ]"
                        : "";
        FleetScenario script =
                FleetScenarioReader.of(
                        "{ name: 'cost', seconds: 1000, members: "
                                + members
                                + ", zones: 3, seeds: 3, copies: true, store: "
                                + kind.store()
                                + slow
                                + " }",
                        "cost");
        Times keyed = new Times();
        Times throttled = new Times();
        Times reads = new Times();
        Times bare = new Times();
        Times handed = new Times();
        AtomicLong refused = new AtomicLong();
        boolean minority = kind == Kind.MINORITY;
        boolean links = asked.links || minority || kind == Kind.SLOW;
        try (ScenarioRunner stage =
                new ScenarioRunner(script, 1, folder, true, kind.copies(), progress)) {
            if (!links) {
                stage.direct();
            }
            stage.forLoad();
            stage.raise((slot, body) -> {});
            if (minority) {
                stage.cut(Set.of(1));
            }
            AtomicInteger numbers = new AtomicInteger();
            long begins = System.nanoTime() + WARM_S * 1_000_000_000L;
            long ends = begins + asked.seconds * 1_000_000_000L;
            List<Thread> threads = new ArrayList<>();
            for (int i = 0; i < asked.callers * members; i++) {
                int slot = 1 + i % members;
                boolean isKeyed = i / members % 2 == 0;
                // What a keeper that is slow costs others is asked for, not what its own callers
                // wait.
                if (minority && slot != 1 || kind == Kind.SLOW && slot == members) {
                    continue;
                }
                threads.add(
                        thread(
                                () -> {
                                    try (FakeConnection wire =
                                            new FakeConnection(
                                                    new Socket(
                                                            InetAddress.getLoopbackAddress(),
                                                            stage.box(slot).serves))) {
                                        while (System.nanoTime() < ends) {
                                            int number = numbers.incrementAndGet();
                                            long at = System.nanoTime();
                                            wire.send(
                                                    GatewayMessages.message(
                                                            number,
                                                            isKeyed ? "order" : "read",
                                                            GatewayMessages.params(
                                                                    String.format("%016x", number),
                                                                    isKeyed
                                                                            ? String.format(
                                                                                    "%032x", number)
                                                                            : null,
                                                                    "b" + number)));
                                            String line = wire.line();
                                            if (line == null) {
                                                return;
                                            }
                                            if (at >= begins) {
                                                if (line.contains("\"result\"")) {
                                                    (isKeyed ? keyed : reads)
                                                            .add(System.nanoTime() - at);
                                                } else if (isKeyed && line.contains("-32014")) {
                                                    throttled.add(System.nanoTime() - at);
                                                } else {
                                                    refused.incrementAndGet();
                                                }
                                            }
                                            if (asked.pauseMs > 0) {
                                                Thread.sleep(asked.pauseMs);
                                            }
                                        }
                                    }
                                }));
            }
            threads.add(thread(() -> echo(bare, begins, ends, false)));
            threads.add(thread(() -> echo(handed, begins, ends, true)));
            for (Thread thread : threads) {
                thread.join((WARM_S + asked.seconds + 15) * 1000L);
            }
            Thread.sleep(1_500); // figures are written each second
            double forces = 0;
            double records = 0;
            double p50 = 0;
            double p99 = 0;
            for (int i = 1; i <= members; i++) {
                Path file = folder.resolve("server-" + i).resolve("metrics.prom");
                forces += figure(file, "ochretiller_store_forces_total");
                records += figure(file, "ochretiller_store_records_total");
                p50 += figure(file, "fleet_claim_p50_seconds") * 1e3 / members;
                p99 = Math.max(p99, figure(file, "fleet_claim_p99_seconds") * 1e3);
            }
            return String.format(
                    Locale.ROOT,
                    "%d,%s,%d,%d,%.0f,%.2f,%.2f,%.2f,%d,%.2f,%.2f,%.0f,%.2f,%.2f,%.2f,%.2f,%.3f,%.3f,%.3f,%.3f,%.1f,%d",
                    members,
                    kind.name().toLowerCase(Locale.ROOT),
                    asked.callers * members,
                    asked.pauseMs,
                    keyed.count() / (double) asked.seconds,
                    keyed.ms(50),
                    keyed.ms(99),
                    keyed.ms(99.9),
                    throttled.count(),
                    throttled.ms(50),
                    throttled.ms(99),
                    reads.count() / (double) asked.seconds,
                    reads.ms(50),
                    reads.ms(99),
                    p50,
                    p99,
                    bare.ms(50),
                    bare.ms(99),
                    handed.ms(50),
                    handed.ms(99),
                    forces == 0 ? 0 : records / forces,
                    refused.get());
        }
    }

    static final String HEAD =
            "servers,copies,callers,pause ms,keyed a second,keyed p50 ms,keyed p99 ms,keyed p99.9"
                + " ms,throttled,throttled p50 ms,throttled p99 ms,idempotent a second,idempotent"
                + " p50 ms,idempotent p99 ms,claim p50 ms (mean of servers),claim p99 ms (worst"
                + " server),bare round trip p50 ms,bare p99 ms,handed over p50 ms,handed over p99"
                + " ms,records a force,refused";

    private interface Work {
        void run() throws Exception;
    }

    private static Thread thread(Work work) {
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                work.run();
                            } catch (Exception e) {
                                // its row tells by what is missing
                            }
                        },
                        "cost");
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /**
     * Round trips of as many bytes as a claim has, beside the load.
     *
     * @param handsOver whether each end hands what it has read to another thread, as a server's
     *     reader does to its loop
     */
    private static void echo(Times times, long begins, long ends, boolean handsOver)
            throws IOException, InterruptedException {
        try (DatagramSocket one = new DatagramSocket(0, InetAddress.getLoopbackAddress());
                DatagramSocket two = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
            BlockingQueue<DatagramPacket> there = new LinkedBlockingQueue<>();
            BlockingQueue<DatagramPacket> back = new LinkedBlockingQueue<>();
            DaemonThreads.start(
                    () -> {
                        while (!two.isClosed()) {
                            DatagramPacket packet = new DatagramPacket(new byte[PACKET], PACKET);
                            two.receive(packet);
                            if (handsOver) {
                                there.add(packet);
                            } else {
                                two.send(packet);
                            }
                        }
                    });
            if (handsOver) {
                DaemonThreads.start(
                        () -> {
                            while (!two.isClosed()) {
                                two.send(there.take());
                            }
                        });
            }
            one.setSoTimeout(1_000);
            if (handsOver) {
                DaemonThreads.start(
                        () -> {
                            while (!one.isClosed()) {
                                DatagramPacket packet =
                                        new DatagramPacket(new byte[PACKET], PACKET);
                                one.receive(packet);
                                back.add(packet);
                            }
                        });
            }
            DatagramPacket packet =
                    new DatagramPacket(
                            new byte[PACKET],
                            PACKET,
                            InetAddress.getLoopbackAddress(),
                            two.getLocalPort());
            while (System.nanoTime() < ends) {
                long at = System.nanoTime();
                one.send(packet);
                if (handsOver) {
                    back.poll(1, TimeUnit.SECONDS);
                } else {
                    one.receive(new DatagramPacket(new byte[PACKET], PACKET));
                }
                if (at > begins) {
                    times.add(System.nanoTime() - at);
                }
                Thread.sleep(5);
            }
        }
    }

    private static double figure(Path file, String name) throws IOException {
        return Files.exists(file)
                ? Files.readAllLines(file).stream()
                        .filter(line -> line.startsWith(name + " "))
                        .mapToDouble(line -> Double.parseDouble(line.split(" ")[1]))
                        .findFirst()
                        .orElse(0)
                : 0;
    }
}

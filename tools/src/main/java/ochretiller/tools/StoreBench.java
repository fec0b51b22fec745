package ochretiller.tools;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Stream;
import ochretiller.store.AppendResult;
import ochretiller.store.BootClock;
import ochretiller.store.LocalDirectory;
import ochretiller.store.Store;
import ochretiller.store.StoreLimits;

/**
 * Appends and recovery, beside bare writes of the same bytes on the same disk, in turn within one
 * run.
 */
final class StoreBench {
    private static final int[] IN_FLIGHT = {1, 8, 32, 256};
    private static final int META = 90;
    private static final int VALUE = 300;
    private static final int KEY = 32;

    /** A record as the store writes it, frame included. */
    private static final int RECORD = 36 + KEY + META + VALUE;

    private final Path folder;
    private final boolean quick;
    private long keys;

    /** Records a force, of the last round. */
    private double group;

    StoreBench(Path folder, boolean quick) {
        this.folder = folder;
        this.quick = quick;
    }

    private Store open(Path at, int entries) throws IOException {
        StoreLimits limits =
                StoreLimits.builder()
                        .maxEntries(entries)
                        .maxBytes(16L << 30)
                        .maxIndexBytes(16L << 30)
                        .compactionBytesPerSecond(8 << 20)
                        .compactionMinRemainingLife(Duration.ofDays(1))
                        .maxRecordLife(Duration.ofDays(1))
                        .build();
        return Store.open(new LocalDirectory(at), limits, BootClock.ofKernel(), Runnable::run);
    }

    private static void empty(Path at) throws IOException {
        if (!Files.exists(at)) {
            return;
        }
        try (Stream<Path> files = Files.walk(at)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
    }

    private byte[] key() {
        return String.format("%032x", ++keys).getBytes();
    }

    private double store(int inFlight, long nanos) throws Exception {
        empty(folder);
        AtomicLong done = new AtomicLong();
        try (Store store = open(folder, 1 << 30)) {
            store.start();
            Semaphore free = new Semaphore(inFlight);
            long start = System.nanoTime();
            while (System.nanoTime() - start < nanos) {
                free.acquire();
                store.putNew(
                        key(),
                        new byte[META],
                        new byte[VALUE],
                        store.nowMillis() + 60_000,
                        ack -> {
                            if (ack == AppendResult.DURABLE) {
                                done.incrementAndGet();
                            }
                            free.release();
                        });
            }
            free.acquire(inFlight);
            return done.get() / ((System.nanoTime() - start) / 1e9);
        }
    }

    /**
     * The same with the next append handed over from the acknowledgement of the last, as a busy
     * loop does.
     */
    private double looped(int inFlight, long nanos) throws Exception {
        empty(folder);
        AtomicLong done = new AtomicLong();
        try (Store store = open(folder, 1 << 30)) {
            store.start();
            CountDownLatch ended = new CountDownLatch(inFlight);
            long start = System.nanoTime();
            for (int i = 0; i < inFlight; i++) {
                again(store, start + nanos, done, ended);
            }
            ended.await();
            group = store.stats().appendedRecords() / (double) store.stats().forces();
            return done.get() / ((System.nanoTime() - start) / 1e9);
        }
    }

    private void again(Store store, long until, AtomicLong done, CountDownLatch ended) {
        if (System.nanoTime() >= until) {
            ended.countDown();
            return;
        }
        store.putNew(
                String.format("%032x", done.incrementAndGet()).getBytes(),
                new byte[META],
                new byte[VALUE],
                store.nowMillis() + 60_000,
                ack -> again(store, until, done, ended));
    }

    /**
     * So many records in one write and one force, one behind another: what the disk gives without a
     * store.
     */
    private double bare(int records, long nanos) throws IOException {
        Files.createDirectories(folder);
        Path file = folder.resolve("bare");
        Files.deleteIfExists(file);
        long done = 0;
        try (FileChannel channel =
                FileChannel.open(file, StandardOpenOption.CREATE_NEW, StandardOpenOption.WRITE)) {
            ByteBuffer bytes = ByteBuffer.allocate(records * RECORD);
            long start = System.nanoTime();
            long now = start;
            while (now - start < nanos) {
                bytes.clear();
                while (bytes.hasRemaining()) {
                    channel.write(bytes);
                }
                channel.force(false);
                done += records;
                now = System.nanoTime();
            }
            return done / ((now - start) / 1e9);
        }
    }

    private static double median(List<Double> values) {
        double[] sorted = values.stream().mapToDouble(v -> v).sorted().toArray();
        return sorted[sorted.length / 2];
    }

    void appends() throws Exception {
        long nanos = (quick ? 1 : 2) * 1_000_000_000L;
        int rounds = 3;
        store(256, nanos); // compiled before it counts
        ResultTable table =
                new ResultTable(
                        "store-appends",
                        "in flight",
                        "from a busy loop",
                        "from a woken thread",
                        "one force a record",
                        "bare groups",
                        "times one force a record",
                        "share of bare groups",
                        "records a force");
        List<double[]> woken = new ArrayList<>();
        List<double[]> appends = new ArrayList<>();
        List<double[]> single = new ArrayList<>();
        List<double[]> groups = new ArrayList<>();
        for (int inFlight : IN_FLIGHT) {
            List<Double> store = new ArrayList<>();
            List<Double> threaded = new ArrayList<>();
            List<Double> one = new ArrayList<>();
            List<Double> bare = new ArrayList<>();
            List<Double> times = new ArrayList<>();
            List<Double> share = new ArrayList<>();
            for (int round = 0; round < rounds; round++) {
                one.add(bare(1, nanos));
                store.add(looped(inFlight, nanos));
                threaded.add(store(inFlight, nanos));
                bare.add(bare(inFlight, nanos));
                times.add(store.get(round) / one.get(round));
                share.add(store.get(round) / bare.get(round));
            }
            table.row(
                    inFlight,
                    median(store),
                    median(threaded),
                    median(one),
                    median(bare),
                    median(times),
                    median(share),
                    group);
            appends.add(new double[] {inFlight, median(store)});
            woken.add(new double[] {inFlight, median(threaded)});
            single.add(new double[] {inFlight, median(one)});
            groups.add(new double[] {inFlight, median(bare)});
        }
        table.keep();
        Map<String, List<double[]>> series = new LinkedHashMap<>();
        series.put("store, from a busy loop", appends);
        series.put("store, from a woken thread", woken);
        series.put("bare groups of as many", groups);
        series.put("one force a record", single);
        Charts.lines(
                "store-appends",
                "Durable appends (own bench)",
                "in flight",
                "a second",
                true,
                series);
        empty(folder);
    }

    void recovery() throws Exception {
        ResultTable table =
                new ResultTable(
                        "store-recovery",
                        "entries",
                        "segments read whole s",
                        "with hints s",
                        "bytes an entry on disk",
                        "heap bytes an entry",
                        "reckoned bytes an entry");
        List<double[]> whole = new ArrayList<>();
        List<double[]> hinted = new ArrayList<>();
        for (int entries :
                quick ? new int[] {10_000, 100_000} : new int[] {10_000, 100_000, 1_000_000}) {
            empty(folder);
            long bytes;
            try (Store store = open(folder, 1 << 30)) {
                store.start();
                Semaphore free = new Semaphore(2_000);
                for (int i = 0; i < entries; i++) {
                    free.acquire();
                    store.putNew(
                            key(),
                            new byte[META],
                            new byte[VALUE],
                            store.nowMillis() + 3_600_000,
                            ack -> free.release());
                }
                free.acquire(2_000);
                bytes = store.stats().bytes();
            }
            double[] withHints = times(entries);
            try (Stream<Path> files = Files.list(folder)) {
                for (Path file : files.filter(f -> f.toString().endsWith(".hint")).toList()) {
                    Files.delete(file);
                }
            }
            double[] without = times(entries);
            table.row(
                    entries,
                    without[0],
                    withHints[0],
                    bytes / (double) entries,
                    withHints[1],
                    withHints[2]);
            whole.add(new double[] {entries, without[0]});
            hinted.add(new double[] {entries, withHints[0]});
        }
        table.keep();
        Map<String, List<double[]>> series = new LinkedHashMap<>();
        series.put("segments read whole", whole);
        series.put("with hints", hinted);
        Charts.lines("store-recovery", "Recovery (own bench)", "entries", "seconds", true, series);
        empty(folder);
    }

    /**
     * Median of three starts in seconds, the heap that an entry takes, and what the store reckons.
     */
    private double[] times(int entries) throws IOException {
        double[] seconds = new double[3];
        double heap = 0;
        double reckoned = 0;
        for (int i = 0; i < seconds.length; i++) {
            long before = used();
            long start = System.nanoTime();
            try (Store store = open(folder, 1 << 30)) {
                seconds[i] = (System.nanoTime() - start) / 1e9;
                if (store.stats().entries() != entries) {
                    throw new IOException("entries: " + store.stats().entries());
                }
                store.start(); // lets the list of what was kept go
                heap = (used() - before) / (double) entries;
                reckoned = store.stats().indexBytes() / (double) entries;
            }
        }
        Arrays.sort(seconds);
        return new double[] {seconds[1], heap, reckoned};
    }

    private static long used() {
        System.gc();
        System.gc();
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }
}

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
 * Measures appends and recovery of the store. Appends are compared with plain writes of the same
 * bytes to the same disk, alternating within one run.
 */
final class StoreBench {
    private static final int[] IN_FLIGHT_COUNTS = {1, 8, 32, 256};
    private static final int METADATA_BYTES = 90;
    private static final int VALUE_BYTES = 300;
    private static final int KEY_BYTES = 32;

    /** A record as the store writes it, including 36 bytes of framing. */
    private static final int RECORD_BYTES = 36 + KEY_BYTES + METADATA_BYTES + VALUE_BYTES;

    private final Path directory;
    private final boolean quick;
    private long lastKey;

    /** Mean number of records that one force made durable in the last round. */
    private double recordsPerForce;

    StoreBench(Path directory, boolean quick) {
        this.directory = directory;
        this.quick = quick;
    }

    private Store open(Path storeDirectory, int maxEntries) throws IOException {
        StoreLimits limits =
                StoreLimits.builder()
                        .maxEntries(maxEntries)
                        .maxBytes(16L << 30)
                        .maxIndexBytes(16L << 30)
                        .compactionBytesPerSecond(8 << 20)
                        .compactionMinRemainingLifetime(Duration.ofDays(1))
                        .maxRecordLifetime(Duration.ofDays(1))
                        .build();
        return Store.open(
                new LocalDirectory(storeDirectory), limits, BootClock.ofKernel(), Runnable::run);
    }

    private static void deleteRecursively(Path root) throws IOException {
        if (!Files.exists(root)) {
            return;
        }
        try (Stream<Path> files = Files.walk(root)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
    }

    private byte[] nextKey() {
        return String.format("%032x", ++lastKey).getBytes();
    }

    /** Returns the appends a second of one thread, which waits for a free slot before each. */
    private double appendFromThread(int inFlight, long durationNanos) throws Exception {
        deleteRecursively(directory);
        AtomicLong durable = new AtomicLong();
        try (Store store = open(directory, 1 << 30)) {
            store.start();
            Semaphore permits = new Semaphore(inFlight);
            long start = System.nanoTime();
            while (System.nanoTime() - start < durationNanos) {
                permits.acquire();
                store.putNew(
                        nextKey(),
                        new byte[METADATA_BYTES],
                        new byte[VALUE_BYTES],
                        store.nowMillis() + 60_000,
                        result -> {
                            if (result == AppendResult.DURABLE) {
                                durable.incrementAndGet();
                            }
                            permits.release();
                        });
            }
            permits.acquire(inFlight);
            return durable.get() / ((System.nanoTime() - start) / 1e9);
        }
    }

    /**
     * Returns the appends a second where the callback of each append submits the next one, as a
     * busy event loop does.
     */
    private double appendFromCallbacks(int inFlight, long durationNanos) throws Exception {
        deleteRecursively(directory);
        AtomicLong submitted = new AtomicLong();
        try (Store store = open(directory, 1 << 30)) {
            store.start();
            CountDownLatch finished = new CountDownLatch(inFlight);
            long start = System.nanoTime();
            for (int i = 0; i < inFlight; i++) {
                appendUntil(store, start + durationNanos, submitted, finished);
            }
            finished.await();
            recordsPerForce = store.stats().appendedRecords() / (double) store.stats().forces();
            return submitted.get() / ((System.nanoTime() - start) / 1e9);
        }
    }

    private void appendUntil(
            Store store, long deadlineNanos, AtomicLong submitted, CountDownLatch finished) {
        if (System.nanoTime() >= deadlineNanos) {
            finished.countDown();
            return;
        }
        store.putNew(
                String.format("%032x", submitted.incrementAndGet()).getBytes(),
                new byte[METADATA_BYTES],
                new byte[VALUE_BYTES],
                store.nowMillis() + 60_000,
                result -> appendUntil(store, deadlineNanos, submitted, finished));
    }

    /**
     * Returns the records a second that the disk takes without a store: this many in each write,
     * followed by a force, one write after the other.
     */
    private double writePlain(int recordsPerWrite, long durationNanos) throws IOException {
        Files.createDirectories(directory);
        Path file = directory.resolve("bare");
        Files.deleteIfExists(file);
        long written = 0;
        try (FileChannel channel =
                FileChannel.open(file, StandardOpenOption.CREATE_NEW, StandardOpenOption.WRITE)) {
            ByteBuffer buffer = ByteBuffer.allocate(recordsPerWrite * RECORD_BYTES);
            long start = System.nanoTime();
            long now = start;
            while (now - start < durationNanos) {
                buffer.clear();
                while (buffer.hasRemaining()) {
                    channel.write(buffer);
                }
                channel.force(false);
                written += recordsPerWrite;
                now = System.nanoTime();
            }
            return written / ((now - start) / 1e9);
        }
    }

    private static double median(List<Double> values) {
        double[] sorted = values.stream().mapToDouble(value -> value).sorted().toArray();
        return sorted[sorted.length / 2];
    }

    void measureAppends() throws Exception {
        long roundNanos = (quick ? 1 : 2) * 1_000_000_000L;
        int rounds = 3;
        appendFromThread(256, roundNanos); // warm-up, so that the code is compiled
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
        List<double[]> threadPoints = new ArrayList<>();
        List<double[]> callbackPoints = new ArrayList<>();
        List<double[]> singlePoints = new ArrayList<>();
        List<double[]> groupPoints = new ArrayList<>();
        for (int inFlight : IN_FLIGHT_COUNTS) {
            List<Double> fromCallbacks = new ArrayList<>();
            List<Double> fromThread = new ArrayList<>();
            List<Double> plainSingle = new ArrayList<>();
            List<Double> plainGroups = new ArrayList<>();
            List<Double> speedups = new ArrayList<>();
            List<Double> shares = new ArrayList<>();
            for (int round = 0; round < rounds; round++) {
                plainSingle.add(writePlain(1, roundNanos));
                fromCallbacks.add(appendFromCallbacks(inFlight, roundNanos));
                fromThread.add(appendFromThread(inFlight, roundNanos));
                plainGroups.add(writePlain(inFlight, roundNanos));
                speedups.add(fromCallbacks.get(round) / plainSingle.get(round));
                shares.add(fromCallbacks.get(round) / plainGroups.get(round));
            }
            table.addRow(
                    inFlight,
                    median(fromCallbacks),
                    median(fromThread),
                    median(plainSingle),
                    median(plainGroups),
                    median(speedups),
                    median(shares),
                    recordsPerForce);
            callbackPoints.add(new double[] {inFlight, median(fromCallbacks)});
            threadPoints.add(new double[] {inFlight, median(fromThread)});
            singlePoints.add(new double[] {inFlight, median(plainSingle)});
            groupPoints.add(new double[] {inFlight, median(plainGroups)});
        }
        table.save();
        Map<String, List<double[]>> series = new LinkedHashMap<>();
        series.put("store, from a busy loop", callbackPoints);
        series.put("store, from a woken thread", threadPoints);
        series.put("bare groups of as many", groupPoints);
        series.put("one force a record", singlePoints);
        Charts.saveLineChart(
                "store-appends",
                "Durable appends (own bench)",
                "in flight",
                "a second",
                true,
                series);
        deleteRecursively(directory);
    }

    void measureRecovery() throws Exception {
        ResultTable table =
                new ResultTable(
                        "store-recovery",
                        "entries",
                        "segments read whole s",
                        "with hints s",
                        "bytes an entry on disk",
                        "heap bytes an entry",
                        "reckoned bytes an entry");
        List<double[]> pointsWithoutHints = new ArrayList<>();
        List<double[]> pointsWithHints = new ArrayList<>();
        for (int entries :
                quick ? new int[] {10_000, 100_000} : new int[] {10_000, 100_000, 1_000_000}) {
            deleteRecursively(directory);
            long bytes;
            try (Store store = open(directory, 1 << 30)) {
                store.start();
                Semaphore permits = new Semaphore(2_000);
                for (int i = 0; i < entries; i++) {
                    permits.acquire();
                    store.putNew(
                            nextKey(),
                            new byte[METADATA_BYTES],
                            new byte[VALUE_BYTES],
                            store.nowMillis() + 3_600_000,
                            result -> permits.release());
                }
                permits.acquire(2_000);
                bytes = store.stats().bytes();
            }
            double[] withHints = measureOpen(entries);
            try (Stream<Path> files = Files.list(directory)) {
                for (Path file : files.filter(f -> f.toString().endsWith(".hint")).toList()) {
                    Files.delete(file);
                }
            }
            double[] withoutHints = measureOpen(entries);
            table.addRow(
                    entries,
                    withoutHints[0],
                    withHints[0],
                    bytes / (double) entries,
                    withHints[1],
                    withHints[2]);
            pointsWithoutHints.add(new double[] {entries, withoutHints[0]});
            pointsWithHints.add(new double[] {entries, withHints[0]});
        }
        table.save();
        Map<String, List<double[]>> series = new LinkedHashMap<>();
        series.put("segments read whole", pointsWithoutHints);
        series.put("with hints", pointsWithHints);
        Charts.saveLineChart(
                "store-recovery", "Recovery (own bench)", "entries", "seconds", true, series);
        deleteRecursively(directory);
    }

    /**
     * Returns the median seconds of three recoveries, the heap bytes of an entry, and the bytes of
     * an entry as the store estimates them.
     */
    private double[] measureOpen(int entries) throws IOException {
        double[] seconds = new double[3];
        double heapBytes = 0;
        double estimatedBytes = 0;
        for (int i = 0; i < seconds.length; i++) {
            long heapBefore = usedHeap();
            long start = System.nanoTime();
            try (Store store = open(directory, 1 << 30)) {
                seconds[i] = (System.nanoTime() - start) / 1e9;
                if (store.stats().entries() != entries) {
                    throw new IOException(
                            "recovered "
                                    + store.stats().entries()
                                    + " entries instead of "
                                    + entries);
                }
                store.start(); // releases the list of recovered entries, which is not measured
                heapBytes = (usedHeap() - heapBefore) / (double) entries;
                estimatedBytes = store.stats().indexBytes() / (double) entries;
            }
        }
        Arrays.sort(seconds);
        return new double[] {seconds[1], heapBytes, estimatedBytes};
    }

    private static long usedHeap() {
        System.gc();
        System.gc();
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }
}

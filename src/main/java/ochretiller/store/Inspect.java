package ochretiller.store;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * A look at a store from outside. All but {@link #compact} change nothing and take no lock: they
 * read beside a server.
 */
public final class Inspect {
    /** For a store that is only copied: no bound is met, and nothing is thrown away early. */
    private static final Limits WIDE =
            new Limits(
                    Integer.MAX_VALUE,
                    Long.MAX_VALUE,
                    Long.MAX_VALUE,
                    64 << 20,
                    Duration.ofDays(1),
                    Long.MAX_VALUE,
                    0.5,
                    Duration.ZERO,
                    Duration.ofDays(36_500));

    private Inspect() {}

    /**
     * What every byte of a store says.
     *
     * @param unfinished bytes at the end of the last segment that were never written to a record's
     *     end; harmless
     * @param damage what is there and no record, or missing in front of what is there, a line each
     * @param useless halves that the next start deletes
     * @param foreign files that are not the store's
     */
    public record Report(
            List<File> files,
            int entries,
            long bytes,
            long unfinished,
            List<String> damage,
            List<String> useless,
            List<String> foreign) {
        public boolean good() {
            return damage.isEmpty();
        }
    }

    /** One segment. */
    public record File(
            String name, long bytes, int records, long dead, boolean sealed, boolean damaged) {}

    /** One key. */
    public record Item(byte[] key, byte[] meta, long expires, String file, int at, int bytes) {}

    /** Reads every record of every segment and holds its check sum against it. */
    public static Report verify(Disk disk, Consumer<String> progress) throws IOException {
        Recovery read = Recovery.read(disk, false, progress);
        List<File> files = new ArrayList<>();
        long unfinished = 0;
        for (Recovery.Found found : read.found.values()) {
            Segment segment = found.segment;
            files.add(
                    new File(
                            segment.file(),
                            segment.size,
                            segment.records,
                            segment.dead,
                            segment.sealed,
                            segment.damaged));
            if (!segment.damaged && !segment.sealed) {
                unfinished += segment.size - found.goodEnd;
            }
        }
        return new Report(
                files,
                read.index.entries(),
                files.stream().mapToLong(File::bytes).sum(),
                unfinished,
                List.copyOf(read.damage),
                List.copyOf(read.useless),
                List.copyOf(read.foreign));
    }

    /** Tells of each key that has a value. */
    public static void list(Disk disk, Consumer<Item> with) throws IOException {
        Recovery.read(disk, true, file -> {})
                .index
                .forEach(
                        slot -> {
                            if (!slot.live()) {
                                return;
                            }
                            with.accept(
                                    new Item(
                                            slot.key.bytes,
                                            slot.meta,
                                            slot.expires,
                                            slot.segment.file(),
                                            slot.at,
                                            slot.size));
                        });
    }

    /**
     * Copies what is live of each segment and drops the rest; the store must not be in use. Returns
     * bytes before and after.
     */
    public static long[] compact(Disk disk, Consumer<String> progress) throws IOException {
        disk.list(); // a folder that is not there is not made
        long before = verify(disk, file -> {}).bytes();
        try (Store store = Store.open(disk, WIDE, Boot.ofMachine(), Runnable::run)) {
            if (!store.stats().well()) {
                throw new StoreException("the disk is not well: " + store.stats().fault());
            }
            store.compactAll(progress);
        }
        return new long[] {before, verify(disk, file -> {}).bytes()};
    }
}

package ochretiller.store;

import java.util.Optional;
import java.util.UUID;

/**
 * The store's clock in milliseconds. It continues across restarts, never runs ahead of real time
 * and cannot be set. It is the uptime of the machine plus an offset that every segment header
 * contains. Immutable and thread-safe.
 */
final class StoreClock {
    private final BootClock bootClock;
    private final long offsetMillis;

    private StoreClock(BootClock bootClock, long offsetMillis) {
        this.bootClock = bootClock;
        this.offsetMillis = offsetMillis;
    }

    /**
     * Continues the clock of a recovered store. Within the same boot it includes the time between
     * two processes; otherwise it resumes at the latest time that it is known to have reached, so
     * that no record expires early.
     *
     * @param maxRecordLifetimeMillis longest lifetime of a record; the clock has reached at least
     *     the latest expiry minus this
     */
    static StoreClock resume(BootClock bootClock, Recovery recovery, long maxRecordLifetimeMillis) {
        long uptimeMillis = bootClock.uptimeMillis().getAsLong();
        Optional<SegmentHeader> lastHeader =
                recovery.segments().stream()
                        .flatMap(segment -> segment.header().stream())
                        .reduce((earlier, later) -> later);
        if (lastHeader.isEmpty()) {
            return new StoreClock(bootClock, -uptimeMillis);
        }
        boolean sameBoot =
                bootClock.bootId().isPresent()
                        && bootClock.bootId().equals(lastHeader.get().bootId());
        if (sameBoot) {
            return new StoreClock(bootClock, lastHeader.get().clockOffsetMillis());
        }
        long lowerBoundMillis =
                recovery.index().latestExpiryMillis().stream()
                        .map(expiry -> expiry - maxRecordLifetimeMillis)
                        .reduce(lastHeader.get().createdAtMillis(), Math::max);
        return new StoreClock(bootClock, lowerBoundMillis - uptimeMillis);
    }

    long nowMillis() {
        return offsetMillis + bootClock.uptimeMillis().getAsLong();
    }

    /** Boot id of the machine; empty if the machine does not provide one. */
    Optional<UUID> bootId() {
        return bootClock.bootId();
    }

    /** This clock minus the machine's uptime, as stored in segment headers. */
    long offsetMillis() {
        return offsetMillis;
    }
}

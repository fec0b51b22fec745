package ochretiller.store;

import java.util.Optional;
import java.util.UUID;

/**
 * The store's own clock: milliseconds that continue over restarts, never run ahead of true time and
 * cannot be set. It is the uptime of the machine plus an offset that every segment header carries.
 * Immutable; safe for any thread.
 */
final class StoreClock {
    private final BootClock bootClock;
    private final long offsetMillis;

    private StoreClock(BootClock bootClock, long offsetMillis) {
        this.bootClock = bootClock;
        this.offsetMillis = offsetMillis;
    }

    /**
     * The clock that goes on from what was recovered. Under the same boot the time between two
     * processes counts; otherwise only the time that is proven does, so that no record's life gets
     * shorter.
     *
     * @param maxRecordLifeMillis longest life of a record: the newest expiry less this is a proven
     *     time
     */
    static StoreClock continuing(BootClock bootClock, Recovery recovery, long maxRecordLifeMillis) {
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
        long provenMillis =
                recovery.index().latestExpiryMillis().stream()
                        .map(expiry -> expiry - maxRecordLifeMillis)
                        .reduce(lastHeader.get().createdAtMillis(), Math::max);
        return new StoreClock(bootClock, provenMillis - uptimeMillis);
    }

    long nowMillis() {
        return offsetMillis + bootClock.uptimeMillis().getAsLong();
    }

    /** Boot of the machine; empty where it does not say. */
    Optional<UUID> bootId() {
        return bootClock.bootId();
    }

    /** This clock less the machine's uptime, as segment headers carry it. */
    long offsetMillis() {
        return offsetMillis;
    }
}

package ochretiller.emulator.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Decides for each packet between two servers whether it is lost, delayed, duplicated or corrupted.
 * Used for the links of the emulator and of the drill alike.
 */
public final class LinkFaults {
    /** Maximum delay of a reordered or duplicated packet, in milliseconds. */
    private static final double MAX_REORDER_DELAY_MS = 40;

    private final List<FaultSchedule.Fault> faults;
    private final SplittableRandom random;

    /**
     * A copy of a packet that arrives.
     *
     * @param delayMs milliseconds in addition to the link's normal latency
     * @param isCorrupted whether one of its bytes is corrupted
     */
    public record Copy(double delayMs, boolean isCorrupted) {}

    public LinkFaults(FaultSchedule schedule, SplittableRandom random) {
        this.faults = schedule.faults();
        this.random = random;
    }

    /** Returns the copies of a packet sent now that arrive; empty if it is lost. */
    public List<Copy> deliveredCopies(int from, int to, double seconds) {
        double delay = 0;
        boolean isCorrupted = false;
        int copies = 1;
        for (FaultSchedule.Fault fault : faults) {
            if (!fault.isActiveAt(seconds)
                    || !fault.to().contains(to)
                    || !fault.from().contains(from)) {
                continue;
            }
            switch (fault.kind()) {
                case CUT -> {
                    return List.of();
                }
                case LOSS -> {
                    if (random.nextDouble() < fault.strength()) {
                        return List.of();
                    }
                }
                case DELAY -> delay += fault.strength() * (0.5 + random.nextDouble());
                case REORDER ->
                        delay +=
                                random.nextDouble() < fault.strength()
                                        ? MAX_REORDER_DELAY_MS * random.nextDouble()
                                        : 0;
                case DUPLICATE -> copies += random.nextDouble() < fault.strength() ? 1 : 0;
                case CORRUPT -> isCorrupted |= random.nextDouble() < fault.strength();
                default -> {}
            }
        }
        if (copies == 1) {
            return List.of(new Copy(delay, isCorrupted));
        }
        List<Copy> deliveries = new ArrayList<>();
        for (int i = 0; i < copies; i++) {
            deliveries.add(
                    new Copy(delay + i * random.nextDouble() * MAX_REORDER_DELAY_MS, isCorrupted));
        }
        return deliveries;
    }

    /**
     * Returns a random delay of a server's processing now, in milliseconds; 0 if its core is not
     * crowded.
     */
    public double processingDelayMs(int slot, double seconds) {
        double late = 0;
        for (FaultSchedule.Fault fault : faults) {
            if (fault.kind() == FaultSchedule.FaultKind.CROWD
                    && fault.isActiveAt(seconds)
                    && fault.to().contains(slot)) {
                late += -Math.log(1 - random.nextDouble()) * fault.strength();
            }
        }
        return late;
    }
}

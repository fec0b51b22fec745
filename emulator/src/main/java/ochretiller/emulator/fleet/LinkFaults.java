package ochretiller.emulator.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * What becomes of each packet between two servers. One decision for the emulator's links and for
 * the drill's.
 */
public final class LinkFaults {
    /** Reordered packets come as many milliseconds late. */
    private static final double LATE_MS = 40;

    private final List<FaultSchedule.Fault> faults;
    private final SplittableRandom chance;

    /**
     * A copy of a packet that arrives.
     *
     * @param delayMs beyond what the link takes anyway
     * @param spoilt whether a byte of it is another
     */
    public record Copy(double delayMs, boolean spoilt) {}

    public LinkFaults(FaultSchedule plan, SplittableRandom chance) {
        this.faults = plan.faults();
        this.chance = chance;
    }

    /** The copies that arrive of a packet sent now: none where it is lost. */
    public List<Copy> fate(int from, int to, double seconds) {
        double delay = 0;
        boolean spoilt = false;
        int copies = 1;
        for (FaultSchedule.Fault fault : faults) {
            if (!fault.on(seconds) || !fault.to().contains(to) || !fault.from().contains(from)) {
                continue;
            }
            switch (fault.what()) {
                case CUT -> {
                    return List.of();
                }
                case LOSS -> {
                    if (chance.nextDouble() < fault.strength()) {
                        return List.of();
                    }
                }
                case DELAY -> delay += fault.strength() * (0.5 + chance.nextDouble());
                case REORDER ->
                        delay +=
                                chance.nextDouble() < fault.strength()
                                        ? LATE_MS * chance.nextDouble()
                                        : 0;
                case DUPLICATE -> copies += chance.nextDouble() < fault.strength() ? 1 : 0;
                case CORRUPT -> spoilt |= chance.nextDouble() < fault.strength();
                default -> {}
            }
        }
        if (copies == 1) {
            return List.of(new Copy(delay, spoilt));
        }
        List<Copy> all = new ArrayList<>();
        for (int i = 0; i < copies; i++) {
            all.add(new Copy(delay + i * chance.nextDouble() * LATE_MS, spoilt));
        }
        return all;
    }

    /**
     * Milliseconds by which a server's work comes late now, by chance; 0 where its core is its own.
     */
    public double lateMs(int slot, double seconds) {
        double late = 0;
        for (FaultSchedule.Fault fault : faults) {
            if (fault.what() == FaultSchedule.Link.CROWD
                    && fault.on(seconds)
                    && fault.to().contains(slot)) {
                late += -Math.log(1 - chance.nextDouble()) * fault.strength();
            }
        }
        return late;
    }
}

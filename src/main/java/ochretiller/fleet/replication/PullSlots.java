package ochretiller.fleet.replication;

import java.util.HashSet;
import java.util.Set;

/**
 * Counts the outstanding requests during one tick of {@link AntiEntropy} and bounds them, so that a
 * restarting fleet does not overload the replicas that it pulls from. Repairs have a smaller limit
 * than catch-up, which clients wait for.
 */
final class PullSlots {
    private static final int MAX_OUTSTANDING = 6;
    private static final int MAX_OUTSTANDING_REPAIRS = 2;

    private final Set<Integer> busyRanges = new HashSet<>();
    private int catchUps;
    private int repairs;

    void occupy(int range, boolean repair) {
        busyRanges.add(range);
        if (repair) {
            repairs++;
        } else {
            catchUps++;
        }
    }

    boolean isBusy(int range) {
        return busyRanges.contains(range);
    }

    boolean hasFreeSlot(boolean repair) {
        return catchUps + repairs < MAX_OUTSTANDING
                && (!repair || repairs < MAX_OUTSTANDING_REPAIRS);
    }
}

package ochretiller.store;

/**
 * Decides how long a group waits for more before it is forced. Callers that wait for an
 * acknowledgement tend to come back with their next append just behind it; a force that starts with
 * the first of them leaves the others to the next one, and groups are half as large as they could
 * be. So the next group waits a little for as many as the last force has answered and found
 * waiting, and stops doing so for a while where they do not come. Time is handed in.
 */
final class GroupCommitDelay {
    /**
     * Share of a force's usual time that a group may wait: what is lost at most where nobody comes.
     */
    private static final double SHARE = 0.25;

    /** Weight of the last force in what is usual. */
    private static final double NEW = 0.2;

    /** Longest wait, nanoseconds: a slow disk must not make it a delay of its own. */
    private static final long MOST = 500_000;

    /**
     * Groups that are forced at once behind waits in vain, at most; each wait in vain doubles them.
     */
    private static final int MOST_SKIPPED = 64;

    private int expectedAppends = 1;
    private double usual;
    private int skips;
    private int left;

    /** How many the next group hopes for; one means that it does not wait. */
    int expectedAppends() {
        return left > 0 ? 1 : expectedAppends;
    }

    /** How long it may wait for them, nanoseconds. */
    long maxWaitNanos() {
        return (long) Math.min(MOST, usual * SHARE);
    }

    /** So many had come when the wait was over. */
    void waitEnded(int many) {
        if (left > 0) {
            left--;
        } else if (expectedAppends > 1 && many < expectedAppends) {
            skips = Math.min(MOST_SKIPPED, Math.max(1, skips * 2));
            left = skips;
        } else {
            skips = 0;
        }
    }

    /** A group was forced: so many were answered, so many wait already, and it took so long. */
    void forceCompleted(int answered, int waiting, long nanos) {
        expectedAppends = answered + waiting;
        usual = usual == 0 ? nanos : usual + NEW * (nanos - usual);
    }
}

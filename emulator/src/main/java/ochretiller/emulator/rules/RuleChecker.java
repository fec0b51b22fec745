package ochretiller.emulator.rules;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Holds what happened on boxes against the rules. Each break is a line; the first are kept, all are
 * counted.
 */
public final class RuleChecker {
    /** Lines that are kept: the first show the cause. */
    private static final int KEPT = 20;

    /**
     * An answer may be this late behind its due time, seconds: it is written when a beat comes
     * round.
     */
    private static final double SLACK = 0.01;

    private final List<String> broken = new ArrayList<>();
    private final Map<Long, Seen> open = new HashMap<>();

    /** When a token began to run on a box, and until when it must not again. */
    private final Map<String, double[]> ran = new HashMap<>();

    private long count;
    private long read;
    private long answered;
    private long runs;

    /** One that was read and has no answer yet. */
    private static final class Seen {
        private final String what;
        private final double due;
        private final boolean once;
        private boolean runs;
        private boolean gone;

        private Seen(String what, double due, boolean once) {
            this.what = what;
            this.due = due;
            this.once = once;
        }
    }

    private void breaks(double now, String line) {
        count++;
        if (broken.size() < KEPT) {
            broken.add(String.format(java.util.Locale.ROOT, "%.3f s: %s", now, line));
        }
    }

    /**
     * A try was read; {@code once}: it must not be throttled behind a run. One that is read past
     * its due time is due at once.
     */
    public void read(double now, long id, String what, double due, boolean once) {
        read++;
        open.put(id, new Seen(what, Math.max(due, now), once));
    }

    /** It begins to run on a box. */
    public void runs(
            double now,
            long id,
            String box,
            String token,
            double until,
            double grace,
            double arrived) {
        runs++;
        Seen seen = open.get(id);
        if (seen != null) {
            seen.runs = true;
        }
        if (arrived > grace) {
            breaks(now, "what arrived behind the grace runs on " + box);
        }
        if (token == null) {
            return;
        }
        double[] before = ran.put(box + ' ' + token, new double[] {now, until});
        if (before != null && before[1] > now) {
            breaks(now, "a token ran twice on " + box + ", first at " + before[0]);
        }
    }

    /**
     * It got a final answer.
     *
     * @param stoodFrom when its box last stood still, and {@code stoodTo} until when: nobody
     *     answers meanwhile
     */
    public void answered(double now, long id, boolean throttled, double stoodFrom, double stoodTo) {
        Seen seen = open.remove(id);
        if (seen == null) {
            breaks(now, "a second answer, or one that nobody asked for: " + id);
            return;
        }
        answered++;
        if (throttled && seen.runs && seen.once) {
            breaks(now, "throttled behind its run: " + seen.what);
        }
        double due = seen.due >= stoodFrom - SLACK && seen.due <= stoodTo ? stoodTo : seen.due;
        if (now > due + SLACK && !seen.gone) {
            breaks(now, "answered " + (now - seen.due) + " s past its due time: " + seen.what);
        }
    }

    /** Its caller is known gone: no answer is owed. */
    public void gone(long id) {
        Seen seen = open.get(id);
        if (seen != null) {
            seen.gone = true;
        }
    }

    /** The box that had it has died: its connection tells the caller. */
    public void died(long id) {
        open.remove(id);
    }

    /** A box ended with one that it had read and not answered. */
    public void unanswered(double now, long id, String box) {
        Seen seen = open.remove(id);
        if (seen != null && !seen.gone) {
            breaks(now, box + " left without an answer to " + seen.what);
        }
    }

    /** Nothing happens any more: what is still open was lost. */
    public void over(double now) {
        open.forEach(
                (id, seen) -> {
                    if (!seen.gone) {
                        breaks(now, "never answered: " + seen.what);
                    }
                });
    }

    public List<String> broken() {
        return List.copyOf(broken);
    }

    public long count() {
        return count;
    }

    public long reads() {
        return read;
    }

    public long answers() {
        return answered;
    }

    public long runs() {
        return runs;
    }
}

package ochretiller.fleet.copies;

import static ochretiller.spans.Spans.min;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * Which of a keeper's words may leave: those whose changes, and all before them, are on the disk.
 * Behind a write that failed nothing is said, as if it were lost on the way, until all that is not
 * on the disk has been written anew.
 */
public final class Commit {
    /** Words that wait for the disk; what comes on top is as good as lost. */
    private static final int MOST_WAITING = 20_000;

    /**
     * Pauses between two tries of a disk that has failed: doubled from the first to the last, moved
     * by chance.
     */
    private static final Duration FIRST_PAUSE = Duration.ofMillis(100);

    private static final Duration LAST_PAUSE = Duration.ofSeconds(2);

    /** Writes of one try. */
    private static final int TRIES_AT_ONCE = 1_000;

    private final RandomGenerator chance;
    private final Deque<Waiting> waiting = new ArrayDeque<>();
    private final Deque<Write> writes = new ArrayDeque<>();
    private final Set<String> unsaved = new LinkedHashSet<>();
    private boolean placeUnsaved;
    private long generation;
    private long asked;
    private long done;
    private int words;
    private boolean sick;
    private Duration pause = FIRST_PAUSE;
    private Duration tryAt = Duration.ZERO;
    private long unsaid;

    /**
     * One thing to write: what the keeper has of this token now, or its place where that is null.
     */
    public record Write(long generation, long number, String token) {}

    private record Waiting(long behind, List<Keeper.Out> outs) {}

    public Commit(RandomGenerator chance) {
        this.chance = chance;
    }

    public boolean sick() {
        return sick;
    }

    /** Words that wait for the disk. */
    public int waiting() {
        return words;
    }

    /** Words that were never said, since the disk did not take what they rest on. */
    public long unsaid() {
        return unsaid;
    }

    /**
     * Something has changed, and this is to be said of it.
     *
     * @param place whether the place has changed, too
     * @param now handed what may be said at once
     * @return what to write, in this order
     */
    public List<Write> changed(
            List<String> tokens, boolean place, List<Keeper.Out> outs, List<Keeper.Out> now) {
        if (sick || words + outs.size() > MOST_WAITING) {
            unsaved.addAll(tokens);
            placeUnsaved |= place;
            unsaid += outs.size();
            if (!sick && !(tokens.isEmpty() && !place)) {
                fail();
            }
            return List.of();
        }
        List<Write> all = new ArrayList<>();
        for (String token : tokens) {
            all.add(write(token));
        }
        // Behind its entries: a place that says a range to be whole must not be there without them.
        if (place) {
            all.add(write(null));
        }
        if (writes.isEmpty()) {
            now.addAll(outs);
        } else if (!outs.isEmpty()) {
            waiting.add(new Waiting(asked, outs));
            words += outs.size();
        }
        return all;
    }

    private Write write(String token) {
        Write write = new Write(generation, ++asked, token);
        writes.add(write);
        return write;
    }

    /** One write is over; what may be said by that. */
    public List<Keeper.Out> acked(Write write, boolean durable, Duration now) {
        if (write.generation != generation) {
            return List.of();
        }
        if (!durable) {
            fail();
            tryAt = now.plus(spread(pause));
            return List.of();
        }
        // Acknowledgements come in the order of the writes.
        while (!writes.isEmpty() && writes.peek().number <= write.number) {
            writes.poll();
        }
        done = write.number;
        if (sick) {
            if (!writes.isEmpty() || !unsaved.isEmpty() || placeUnsaved) {
                return List.of();
            }
            sick = false;
            pause = FIRST_PAUSE;
            return List.of();
        }
        List<Keeper.Out> outs = new ArrayList<>();
        while (!waiting.isEmpty() && waiting.peek().behind <= done) {
            List<Keeper.Out> said = waiting.poll().outs;
            words -= said.size();
            outs.addAll(said);
        }
        return outs;
    }

    /**
     * What was not acknowledged may be there or not: it is written anew, and what rests on it is
     * not said.
     */
    private void fail() {
        for (Write each : writes) {
            if (each.token == null) {
                placeUnsaved = true;
            } else {
                unsaved.add(each.token);
            }
        }
        unsaid += words;
        writes.clear();
        waiting.clear();
        words = 0;
        generation++;
        sick = true;
        pause = min(pause.multipliedBy(2), LAST_PAUSE);
    }

    private Duration spread(Duration span) {
        return Duration.ofNanos((long) (span.toNanos() * (0.5 + chance.nextDouble())));
    }

    /** What to write again, behind a failure. */
    public List<Write> tick(Duration now) {
        if (!sick || !writes.isEmpty() || now.compareTo(tryAt) < 0) {
            return List.of();
        }
        tryAt = now.plus(spread(pause));
        List<Write> all = new ArrayList<>();
        for (String token : List.copyOf(unsaved)) {
            if (all.size() >= TRIES_AT_ONCE) {
                return all;
            }
            unsaved.remove(token);
            all.add(write(token));
        }
        placeUnsaved = false;
        all.add(write(null));
        return all;
    }
}

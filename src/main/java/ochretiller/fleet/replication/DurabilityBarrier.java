package ochretiller.fleet.replication;

import static ochretiller.time.Durations.min;

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
public final class DurabilityBarrier {
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
    private final Deque<Waiting> waitingMessages = new ArrayDeque<>();
    private final Deque<PendingWrite> writes = new ArrayDeque<>();
    private final Set<String> unsaved = new LinkedHashSet<>();
    private boolean placeUnsaved;
    private long generation;
    private long asked;
    private long done;
    private int words;
    private boolean degraded;
    private Duration pause = FIRST_PAUSE;
    private Duration tryAt = Duration.ZERO;
    private long droppedMessages;

    /**
     * One thing to write: what the keeper has of this token now, or its place where that is null.
     */
    public record PendingWrite(long generation, long sequence, String token) {}

    private record Waiting(long behind, List<Replica.OutboundMessage> outs) {}

    public DurabilityBarrier(RandomGenerator chance) {
        this.chance = chance;
    }

    public boolean isDegraded() {
        return degraded;
    }

    /** Words that wait for the disk. */
    public int waitingMessages() {
        return words;
    }

    /** Words that were never said, since the disk did not take what they rest on. */
    public long droppedMessages() {
        return droppedMessages;
    }

    /**
     * Something has changed, and this is to be said of it.
     *
     * @param place whether the place has changed, too
     * @param now handed what may be said at once
     * @return what to write, in this order
     */
    public List<PendingWrite> submit(
            List<String> tokens,
            boolean place,
            List<Replica.OutboundMessage> outs,
            List<Replica.OutboundMessage> now) {
        if (degraded || words + outs.size() > MOST_WAITING) {
            unsaved.addAll(tokens);
            placeUnsaved |= place;
            droppedMessages += outs.size();
            if (!degraded && !(tokens.isEmpty() && !place)) {
                fail();
            }
            return List.of();
        }
        List<PendingWrite> all = new ArrayList<>();
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
            waitingMessages.add(new Waiting(asked, outs));
            words += outs.size();
        }
        return all;
    }

    private PendingWrite write(String token) {
        PendingWrite write = new PendingWrite(generation, ++asked, token);
        writes.add(write);
        return write;
    }

    /** One write is over; what may be said by that. */
    public List<Replica.OutboundMessage> acknowledge(
            PendingWrite write, boolean durable, Duration now) {
        if (write.generation != generation) {
            return List.of();
        }
        if (!durable) {
            fail();
            tryAt = now.plus(spread(pause));
            return List.of();
        }
        // Acknowledgements come in the order of the writes.
        while (!writes.isEmpty() && writes.peek().sequence <= write.sequence) {
            writes.poll();
        }
        done = write.sequence;
        if (degraded) {
            if (!writes.isEmpty() || !unsaved.isEmpty() || placeUnsaved) {
                return List.of();
            }
            degraded = false;
            pause = FIRST_PAUSE;
            return List.of();
        }
        List<Replica.OutboundMessage> outs = new ArrayList<>();
        while (!waitingMessages.isEmpty() && waitingMessages.peek().behind <= done) {
            List<Replica.OutboundMessage> said = waitingMessages.poll().outs;
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
        for (PendingWrite each : writes) {
            if (each.token == null) {
                placeUnsaved = true;
            } else {
                unsaved.add(each.token);
            }
        }
        droppedMessages += words;
        writes.clear();
        waitingMessages.clear();
        words = 0;
        generation++;
        degraded = true;
        pause = min(pause.multipliedBy(2), LAST_PAUSE);
    }

    private Duration spread(Duration span) {
        return Duration.ofNanos((long) (span.toNanos() * (0.5 + chance.nextDouble())));
    }

    /** What to write again, behind a failure. */
    public List<PendingWrite> retryWrites(Duration now) {
        if (!degraded || !writes.isEmpty() || now.compareTo(tryAt) < 0) {
            return List.of();
        }
        tryAt = now.plus(spread(pause));
        List<PendingWrite> all = new ArrayList<>();
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

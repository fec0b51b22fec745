package ochretiller.fleet.replication;

import static ochretiller.time.Durations.min;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * Holds a replica's messages back until the changes that they rest on, and all changes before them,
 * are durable: a promise that a crash could take back must not have been heard by anybody.
 *
 * <p>After a failed write nothing is sent, as if it were lost on the way, until everything that is
 * not known to be on disk has been written anew. Retries back off exponentially with jitter. Writes
 * are acknowledged in their order. Not thread-safe; time and random numbers are handed in.
 */
public final class DurabilityBarrier {
    /** Messages that wait for the disk at most; beyond it the disk counts as failed. */
    private static final int MAX_WAITING_MESSAGES = 20_000;

    private static final Duration FIRST_BACKOFF = Duration.ofMillis(100);
    private static final Duration MAX_BACKOFF = Duration.ofSeconds(2);

    /** Writes that one retry issues at most. */
    private static final int MAX_WRITES_PER_RETRY = 1_000;

    private final RandomGenerator random;
    private final Deque<WaitingMessages> waiting = new ArrayDeque<>();
    private final Deque<PendingWrite> outstandingWrites = new ArrayDeque<>();
    private final Set<String> unsavedTokens = new LinkedHashSet<>();
    private boolean metadataUnsaved;
    private long generation;
    private long lastSequence;
    private int waitingMessages;
    private boolean degraded;
    private Duration backoff = FIRST_BACKOFF;
    private Duration nextRetry = Duration.ZERO;
    private long droppedMessages;

    /** Messages that may be sent once the write of this sequence is durable. */
    private record WaitingMessages(long sequence, List<OutboundMessage> messages) {}

    /**
     * @param random spreads retries over time
     */
    public DurabilityBarrier(RandomGenerator random) {
        this.random = random;
    }

    /** Returns whether a write has failed and not everything has been written anew since. */
    public boolean isDegraded() {
        return degraded;
    }

    /** Returns how many messages wait for the disk. */
    public int waitingMessages() {
        return waitingMessages;
    }

    /**
     * Returns how many messages were never sent, since what they rest on did not become durable.
     */
    public long droppedMessages() {
        return droppedMessages;
    }

    /**
     * Submits a change of the replica, and the messages that rest on it.
     *
     * @param changedTokens tokens whose entries have changed
     * @param metadataChanged whether the replica's metadata has changed, too
     * @param messages what the replica wants to send
     */
    public SubmittedChange submit(
            List<String> changedTokens, boolean metadataChanged, List<OutboundMessage> messages) {
        if (degraded || waitingMessages + messages.size() > MAX_WAITING_MESSAGES) {
            postpone(changedTokens, metadataChanged, messages.size());
            return SubmittedChange.NOTHING;
        }
        List<PendingWrite> writes = new ArrayList<>();
        for (String token : changedTokens) {
            writes.add(newWrite(Optional.of(token)));
        }
        // After its entries: metadata that states a range to be complete must not be on disk
        // without them.
        if (metadataChanged) {
            writes.add(newWrite(Optional.empty()));
        }
        if (outstandingWrites.isEmpty()) {
            return new SubmittedChange(writes, messages);
        }
        if (!messages.isEmpty()) {
            waiting.add(new WaitingMessages(lastSequence, messages));
            waitingMessages += messages.size();
        }
        return new SubmittedChange(writes, List.of());
    }

    private void postpone(List<String> changedTokens, boolean metadataChanged, int messages) {
        unsavedTokens.addAll(changedTokens);
        metadataUnsaved |= metadataChanged;
        droppedMessages += messages;
        boolean anythingToWrite = metadataChanged || !changedTokens.isEmpty();
        if (!degraded && anythingToWrite) {
            becomeDegraded();
        }
    }

    private PendingWrite newWrite(Optional<String> token) {
        PendingWrite write = new PendingWrite(generation, ++lastSequence, token);
        outstandingWrites.add(write);
        return write;
    }

    /**
     * Records that a write has ended.
     *
     * @param durable whether it succeeded; after a failure it may be on disk or not
     * @return messages that may be sent now
     */
    public List<OutboundMessage> acknowledge(PendingWrite write, boolean durable, Duration now) {
        if (write.generation() != generation) {
            return List.of();
        }
        if (!durable) {
            becomeDegraded();
            nextRetry = now.plus(jittered(backoff));
            return List.of();
        }
        while (!outstandingWrites.isEmpty()
                && outstandingWrites.peek().sequence() <= write.sequence()) {
            outstandingWrites.poll();
        }
        if (degraded) {
            recoverIfAllSaved();
            return List.of();
        }
        return takeSendable(write.sequence());
    }

    private void recoverIfAllSaved() {
        if (outstandingWrites.isEmpty() && unsavedTokens.isEmpty() && !metadataUnsaved) {
            degraded = false;
            backoff = FIRST_BACKOFF;
        }
    }

    private List<OutboundMessage> takeSendable(long durableSequence) {
        List<OutboundMessage> sendable = new ArrayList<>();
        while (!waiting.isEmpty() && waiting.peek().sequence <= durableSequence) {
            List<OutboundMessage> messages = waiting.poll().messages;
            waitingMessages -= messages.size();
            sendable.addAll(messages);
        }
        return sendable;
    }

    /**
     * What was not acknowledged may be on disk or not: it is written anew, and the messages that
     * rest on it are dropped.
     */
    private void becomeDegraded() {
        for (PendingWrite write : outstandingWrites) {
            if (write.token().isPresent()) {
                unsavedTokens.add(write.token().get());
            } else {
                metadataUnsaved = true;
            }
        }
        droppedMessages += waitingMessages;
        outstandingWrites.clear();
        waiting.clear();
        waitingMessages = 0;
        generation++;
        degraded = true;
        backoff = min(backoff.multipliedBy(2), MAX_BACKOFF);
    }

    private Duration jittered(Duration duration) {
        return Duration.ofNanos((long) (duration.toNanos() * (0.5 + random.nextDouble())));
    }

    /**
     * Returns what to write again after a failure, once the backoff is over; one retry is in
     * progress at a time.
     */
    public List<PendingWrite> retryWrites(Duration now) {
        if (!degraded || !outstandingWrites.isEmpty() || now.compareTo(nextRetry) < 0) {
            return List.of();
        }
        nextRetry = now.plus(jittered(backoff));
        List<PendingWrite> writes = new ArrayList<>();
        for (String token : List.copyOf(unsavedTokens)) {
            if (writes.size() >= MAX_WRITES_PER_RETRY) {
                return writes;
            }
            unsavedTokens.remove(token);
            writes.add(newWrite(Optional.of(token)));
        }
        metadataUnsaved = false;
        writes.add(newWrite(Optional.empty()));
        return writes;
    }
}

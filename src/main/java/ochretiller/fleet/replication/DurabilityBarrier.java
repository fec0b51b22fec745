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
 * Holds a replica's messages back until the changes that they depend on, and all earlier changes,
 * are durable: no peer may see a promise that a crash could undo.
 *
 * <p>After a failed write all messages are dropped, as if lost by the network, until everything not
 * known to be on disk has been rewritten. Retries back off exponentially with jitter. Writes are
 * acknowledged in order. Not thread-safe; the caller passes the time and random numbers.
 */
public final class DurabilityBarrier {
    /** Maximum number of messages that wait for the disk; beyond it the disk counts as failed. */
    private static final int MAX_WAITING_MESSAGES = 20_000;

    private static final Duration FIRST_BACKOFF = Duration.ofMillis(100);
    private static final Duration MAX_BACKOFF = Duration.ofSeconds(2);

    /** Maximum number of entries that one retry writes. */
    private static final int MAX_WRITES_PER_RETRY = 1_000;

    private final RandomGenerator random;
    private final Deque<WaitingMessages> waitingBatches = new ArrayDeque<>();
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

    /** Messages that may be sent once the write with this sequence number is durable. */
    private record WaitingMessages(long sequence, List<OutboundMessage> messages) {}

    /**
     * @param random source of the jitter of retries
     */
    public DurabilityBarrier(RandomGenerator random) {
        this.random = random;
    }

    /** Returns whether a write has failed and not everything has been rewritten since. */
    public boolean isDegraded() {
        return degraded;
    }

    /** Returns how many messages wait for the disk. */
    public int waitingMessages() {
        return waitingMessages;
    }

    /** Returns how many messages were dropped because changes they depend on were not durable. */
    public long droppedMessages() {
        return droppedMessages;
    }

    /**
     * Submits a change of the replica, and the messages that depend on it.
     *
     * @param changedTokens tokens whose entries have changed
     * @param metadataChanged whether the replica's metadata has changed, too
     * @param messages messages to send once the change is durable
     */
    public SubmittedChange submit(
            List<String> changedTokens, boolean metadataChanged, List<OutboundMessage> messages) {
        if (degraded || waitingMessages + messages.size() > MAX_WAITING_MESSAGES) {
            postpone(changedTokens, metadataChanged, messages.size());
            return SubmittedChange.EMPTY;
        }
        List<PendingWrite> writes = new ArrayList<>();
        for (String token : changedTokens) {
            writes.add(newWrite(Optional.of(token)));
        }
        // Written after the entries: metadata that marks a range as complete must not be on disk
        // without them.
        if (metadataChanged) {
            writes.add(newWrite(Optional.empty()));
        }
        if (outstandingWrites.isEmpty()) {
            return new SubmittedChange(writes, messages);
        }
        if (!messages.isEmpty()) {
            waitingBatches.add(new WaitingMessages(lastSequence, messages));
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
            enterDegradedMode();
        }
    }

    private PendingWrite newWrite(Optional<String> token) {
        PendingWrite write = new PendingWrite(generation, ++lastSequence, token);
        outstandingWrites.add(write);
        return write;
    }

    /**
     * Records the result of a write.
     *
     * @param durable whether the write succeeded; a failed write may or may not be on disk
     * @return messages that may be sent now
     */
    public List<OutboundMessage> acknowledge(PendingWrite write, boolean durable, Duration now) {
        if (write.generation() != generation) {
            return List.of();
        }
        if (!durable) {
            enterDegradedMode();
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
        while (!waitingBatches.isEmpty() && waitingBatches.peek().sequence <= durableSequence) {
            List<OutboundMessage> messages = waitingBatches.poll().messages;
            waitingMessages -= messages.size();
            sendable.addAll(messages);
        }
        return sendable;
    }

    /**
     * Unacknowledged writes may or may not be on disk: schedules them to be repeated, and drops the
     * messages that depend on them.
     */
    private void enterDegradedMode() {
        for (PendingWrite write : outstandingWrites) {
            if (write.token().isPresent()) {
                unsavedTokens.add(write.token().get());
            } else {
                metadataUnsaved = true;
            }
        }
        droppedMessages += waitingMessages;
        outstandingWrites.clear();
        waitingBatches.clear();
        waitingMessages = 0;
        generation++;
        degraded = true;
        backoff = min(backoff.multipliedBy(2), MAX_BACKOFF);
    }

    private Duration jittered(Duration duration) {
        return Duration.ofNanos((long) (duration.toNanos() * (0.5 + random.nextDouble())));
    }

    /**
     * Returns the writes to repeat after a failure, when the backoff has elapsed and no earlier
     * retry is in progress.
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

package ochretiller.fleet.membership;

import java.time.Duration;
import java.util.Optional;

/** A probe that waits for its answer. Owned by {@link PendingProbes}. */
final class Probe {
    private final ProbeRequest request;
    private final long nonce;
    private final Duration startedAt;
    private final long packetsReceivedAtStart;
    private Duration lastSentAt;
    private int sendCount = 1;
    private boolean indirectRequested;

    /**
     * Creates a probe whose first ping is sent now.
     *
     * @param startedAt on the {@link PauseExcludingClock}
     * @param packetsReceivedAtStart packets that this server had received by then from all others
     */
    Probe(ProbeRequest request, long nonce, Duration startedAt, long packetsReceivedAtStart) {
        this.request = request;
        this.nonce = nonce;
        this.startedAt = startedAt;
        this.lastSentAt = startedAt;
        this.packetsReceivedAtStart = packetsReceivedAtStart;
    }

    ProbeRequest.Kind kind() {
        return request.kind();
    }

    long target() {
        return request.target();
    }

    PeerAddress address() {
        return request.address();
    }

    Optional<ProbeRequest.Requester> requester() {
        return request.requester();
    }

    long nonce() {
        return nonce;
    }

    Duration startedAt() {
        return startedAt;
    }

    Duration lastSentAt() {
        return lastSentAt;
    }

    long packetsReceivedAtStart() {
        return packetsReceivedAtStart;
    }

    int sendCount() {
        return sendCount;
    }

    void markResent(Duration now) {
        sendCount++;
        lastSentAt = now;
    }

    boolean hasRequestedIndirectProbes() {
        return indirectRequested;
    }

    void markIndirectProbesRequested() {
        indirectRequested = true;
    }

    boolean isScheduled() {
        return kind() == ProbeRequest.Kind.SCHEDULED;
    }

    /** Whether an answer by this incarnation comes from the target. */
    boolean isAnsweredBy(long incarnation) {
        return target() == ProbeRequest.ANY_INCARNATION || target() == incarnation;
    }
}

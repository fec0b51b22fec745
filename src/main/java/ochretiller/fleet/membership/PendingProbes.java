package ochretiller.fleet.membership;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

/** Sends pings and keeps the probes that wait for their answers, in the order they were started. */
final class PendingProbes {
    /** Probes that wait at once: one second of all kinds at their peak. */
    private static final int MAX_PENDING = 512;

    /** Pings a probe sends at most: with two of three lost on a bad link one still arrives. */
    private static final int MAX_PINGS = 3;

    /** Spreads the nonces of different servers; any odd number would do. */
    private static final long NONCE_FACTOR = 31;

    private final ProtocolContext context;
    private final Map<Long, Probe> byNonce = new LinkedHashMap<>();
    private long lastNonceOffset;
    private long packetsReceived;

    PendingProbes(ProtocolContext context) {
        this.context = context;
    }

    /** Sends the first ping of a probe; does nothing if too many are pending. */
    void start(ProbeRequest request) {
        if (byNonce.size() >= MAX_PENDING) {
            return;
        }
        lastNonceOffset++;
        long nonce = nonceBase() + lastNonceOffset;
        Probe probe = new Probe(request, nonce, context.clock().now(), packetsReceived);
        byNonce.put(nonce, probe);
        ping(probe);
    }

    private long nonceBase() {
        return context.self().incarnation() * NONCE_FACTOR;
    }

    private void ping(Probe probe) {
        context.send(
                probe.address(),
                new MembershipMessage.Ping(
                        probe.nonce(),
                        probe.target(),
                        context.gossipFor(probe.target(), false),
                        context.digest()));
    }

    /** The pending probe with this nonce. */
    Optional<Probe> find(long nonce) {
        return Optional.ofNullable(byNonce.get(nonce));
    }

    void remove(Probe probe) {
        byNonce.remove(probe.nonce());
    }

    /** Whether a {@link ProbeRequest.Kind#SCHEDULED} probe of this member is pending. */
    boolean isProbing(long incarnation) {
        for (Probe probe : byNonce.values()) {
            if (probe.target() == incarnation && probe.isScheduled()) {
                return true;
            }
        }
        return false;
    }

    /** Counts a packet from any other server. */
    void packetReceived() {
        packetsReceived++;
    }

    /** Whether nothing was received from anybody since a probe started. */
    boolean nothingReceivedSince(Probe probe) {
        return packetsReceived == probe.packetsReceivedAtStart();
    }

    /**
     * Repeats pings that are due, and removes probes that have run out.
     *
     * @param needsIndirect called for a scheduled probe once it is time to ask others to probe
     * @return the probes that have run out, in the order they were started
     */
    List<Probe> advance(Consumer<Probe> needsIndirect) {
        ProtocolTiming timing = context.timing();
        AwakeClock clock = context.clock();
        Duration timeout = context.health().stretch(timing.probeTimeout());
        List<Probe> expired = new ArrayList<>();
        for (Iterator<Probe> i = byNonce.values().iterator(); i.hasNext(); ) {
            Probe probe = i.next();
            if (clock.hasElapsed(probe.startedAt(), timeout)) {
                i.remove();
                expired.add(probe);
                continue;
            }
            boolean retryDue = clock.hasElapsed(probe.lastSentAt(), timing.pingRetryInterval());
            if (probe.sendCount() < MAX_PINGS && retryDue) {
                probe.resentAt(clock.now());
                ping(probe);
            }
            boolean indirectDue = clock.hasElapsed(probe.startedAt(), timing.indirectProbeDelay());
            if (probe.isScheduled() && !probe.indirectProbesRequested() && indirectDue) {
                probe.markIndirectProbesRequested();
                needsIndirect.accept(probe);
            }
        }
        return expired;
    }

    /** Appends all that decides how it goes on, with times relative to now. */
    void describe(StringBuilder text) {
        AwakeClock clock = context.clock();
        for (Probe probe : byNonce.values()) {
            text.append('?')
                    .append(probe.kind())
                    .append(probe.target())
                    .append(clock.nanosSince(probe.startedAt()))
                    .append(clock.nanosSince(probe.lastSentAt()))
                    .append(probe.sendCount())
                    .append(probe.indirectProbesRequested())
                    .append(nothingReceivedSince(probe))
                    .append(probe.nonce() - nonceBase() - lastNonceOffset);
        }
    }
}

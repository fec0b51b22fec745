package ochretiller.fleet.membership;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

/** Sends pings and tracks the probes that wait for answers, in the order of their start. */
final class PendingProbes {
    /** Maximum pending probes: one second of probes of all kinds at their highest rates. */
    private static final int MAX_PENDING = 512;

    /** Maximum pings per probe: if a bad link loses two of three, one still arrives. */
    private static final int MAX_PINGS = 3;

    /** Separates the nonces of different servers; any odd number works. */
    private static final long NONCE_FACTOR = 31;

    private final ProtocolContext context;
    private final Map<Long, Probe> byNonce = new LinkedHashMap<>();
    private long lastNonceOffset;
    private long packetsReceived;

    PendingProbes(ProtocolContext context) {
        this.context = context;
    }

    /** Starts a probe and sends its first ping; does nothing if too many are pending. */
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

    /** Counts a packet received from any other server. */
    void countReceivedPacket() {
        packetsReceived++;
    }

    /** Whether no packet from any other server has arrived since a probe started. */
    boolean hasReceivedNothingSince(Probe probe) {
        return packetsReceived == probe.packetsReceivedAtStart();
    }

    /**
     * Repeats pings that are due and removes probes that have timed out.
     *
     * @param needsIndirect called for each scheduled probe for which indirect probes are due
     * @return the probes that have timed out, in the order of their start
     */
    List<Probe> advance(Consumer<Probe> needsIndirect) {
        ProtocolTiming timing = context.timing();
        PauseExcludingClock clock = context.clock();
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
                probe.markResent(clock.now());
                ping(probe);
            }
            boolean indirectDue = clock.hasElapsed(probe.startedAt(), timing.indirectProbeDelay());
            if (probe.isScheduled() && !probe.hasRequestedIndirectProbes() && indirectDue) {
                probe.markIndirectProbesRequested();
                needsIndirect.accept(probe);
            }
        }
        return expired;
    }

    /** Appends the state as text, with times relative to now. */
    void describe(StringBuilder text) {
        PauseExcludingClock clock = context.clock();
        for (Probe probe : byNonce.values()) {
            text.append('?')
                    .append(probe.kind())
                    .append(probe.target())
                    .append(clock.nanosSince(probe.startedAt()))
                    .append(clock.nanosSince(probe.lastSentAt()))
                    .append(probe.sendCount())
                    .append(probe.hasRequestedIndirectProbes())
                    .append(hasReceivedNothingSince(probe))
                    .append(probe.nonce() - nonceBase() - lastNonceOffset);
        }
    }
}

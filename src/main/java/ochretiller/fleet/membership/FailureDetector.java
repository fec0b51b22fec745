package ochretiller.fleet.membership;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Failure detection: probes one member in each protocol period, directly and then through others,
 * makes members that fail suspect, and takes suspects for unresponsive once their time has run out.
 *
 * <p>Sources: SWIM (Das, Gupta, Motivala 2002), sections 3.1 (ping, ping-req) and 4.2 (suspicion);
 * Lifeguard (Dadgar, Phillips, Currey 2017), "LHA-Probe" (timeouts stretched by local health) and
 * "LHA-Suspicion" (a suspicion shortens as more members confirm it). Departures: a server that has
 * heard nothing at all since a probe started keeps the suspicion to itself, and goes on probing the
 * suspects that its own probes found.
 */
final class FailureDetector {
    /** Suspects that are probed again in each protocol period, beside the round. */
    private static final int REPROBED_SUSPECTS = 2;

    private final ProtocolContext context;
    private final ProbeSchedule schedule;
    private final PendingProbes probes;
    private final MemberTransitions transitions;
    private final IndirectProbers indirectProbers;
    private Duration nextProbeAt;

    FailureDetector(
            ProtocolContext context,
            ProbeSchedule schedule,
            PendingProbes probes,
            MemberTransitions transitions) {
        this.context = context;
        this.schedule = schedule;
        this.probes = probes;
        this.transitions = transitions;
        this.indirectProbers = new IndirectProbers(context, schedule);
        this.nextProbeAt = context.randomPartOf(context.timing().probeInterval());
    }

    /** Repeats pings, has others probe, and gives up probes that have run out. */
    void advancePendingProbes() {
        List<Probe> expired = probes.advance(indirectProbers::request);
        expired.forEach(this::probeExpired);
    }

    private void probeExpired(Probe probe) {
        if (!probe.isScheduled() || context.hasLeft()) {
            return;
        }
        Optional<MemberRecord> target = liveMember(probe.target());
        if (target.isEmpty()) {
            return;
        }
        context.counters().increment(MembershipCounter.FAILED_PROBES);
        // A server that hears nobody may be the one that is cut off: it must not tell the fleet
        // that
        // all others are gone.
        boolean heardNothing = probes.nothingReceivedSince(probe);
        if (heardNothing) {
            context.health().degrade();
        }
        MemberRecord known = target.get();
        transitions.suspect(
                known, known.stateVersion(), context.self().incarnation(), heardNothing);
        known.markOwnProbeFailed();
    }

    private Optional<MemberRecord> liveMember(long incarnation) {
        return context.table().find(incarnation).filter(MemberRecord::isLive);
    }

    /** Takes suspects for unresponsive whose time to refute has run out. */
    void expireSuspicions() {
        List<MemberRecord> expired = new ArrayList<>();
        for (MemberRecord suspect : context.table().suspects()) {
            Duration timeout = context.health().stretch(suspicionTimeout(suspect));
            if (context.clock().hasElapsed(suspect.stateSince(), timeout)) {
                expired.add(suspect);
            }
        }
        expired.forEach(transitions::markUnresponsive);
    }

    private Duration suspicionTimeout(MemberRecord suspect) {
        ProtocolTiming timing = context.timing();
        if (suspect.isCondemnedByPeer()) {
            return timing.minSuspicionTimeout(context.fleetSize());
        }
        return timing.suspicionTimeout(context.fleetSize(), suspect.accusers().size());
    }

    /** Probes the next member of the round, and some suspects, once in each protocol period. */
    void probeIfDue() {
        if (!context.clock().hasReached(nextProbeAt)) {
            return;
        }
        ProtocolTiming timing = context.timing();
        Duration jitter = context.randomPartOf(timing.tickInterval()).dividedBy(2);
        nextProbeAt = context.clock().now().plus(timing.probeInterval()).minus(jitter);
        reprobeSuspects();
        probeNextInRound();
    }

    private void reprobeSuspects() {
        int started = 0;
        for (MemberRecord suspect : context.table().suspects()) {
            if (started == REPROBED_SUSPECTS) {
                return;
            }
            if (suspect.ownProbeFailed() && !probes.isProbing(suspect.incarnation())) {
                started++;
                probes.start(ProbeRequest.scheduled(suspect.member()));
            }
        }
    }

    private void probeNextInRound() {
        schedule.startRoundIfOver(context.table());
        while (schedule.hasNext()) {
            Optional<MemberRecord> next = liveMember(schedule.next());
            if (next.isPresent() && !probes.isProbing(next.get().incarnation())) {
                context.counters().increment(MembershipCounter.PROBES);
                probes.start(ProbeRequest.scheduled(next.get().member()));
                return;
            }
        }
    }

    /** The answer to a probe of this server has come, from the address that was asked. */
    void probeAnswered(Probe probe, Member responder) {
        probes.remove(probe);
        if (!probe.isAnsweredBy(responder.incarnation())) {
            replacedByOther(probe.target());
            return;
        }
        if (probe.isScheduled()) {
            context.health().improve();
        }
        probe.requester()
                .ifPresent(
                        requester ->
                                context.send(
                                        requester.address(),
                                        new MembershipMessage.IndirectAck(
                                                requester.nonce(), responder.toUpdate(0))));
    }

    /** Another incarnation answers at the target's address: the target cannot be there any more. */
    private void replacedByOther(long target) {
        liveMember(target)
                .ifPresent(
                        known -> {
                            known.publish();
                            transitions.markUnresponsive(known);
                        });
    }

    /** Carries out a probe for another member. */
    void relay(MembershipMessage.PingRequest request, Member requester) {
        if (!context.isSelf(request.target())) {
            probes.start(ProbeRequest.relayed(request, requester.address()));
        }
    }

    /** Another member reports that the target of a probe has answered it. */
    void indirectAck(MembershipMessage.IndirectAck ack) {
        MembershipUpdate target = ack.target();
        Optional<Probe> found =
                probes.find(ack.nonce()).filter(probe -> probe.target() == target.incarnation());
        if (found.isEmpty()) {
            return;
        }
        Probe probe = found.get();
        probes.remove(probe);
        if (probe.isScheduled()) {
            context.health().improve();
        }
        liveMember(probe.target())
                .filter(known -> known.isRefutedBy(target.stateVersion()))
                .ifPresent(
                        known ->
                                transitions.markAlive(
                                        known, target.state(), target.stateVersion()));
    }

    /** Appends all that decides how it goes on, with times relative to now. */
    void describe(StringBuilder text) {
        text.append(" t").append(schedule);
        text.append(" n").append(context.clock().nanosUntil(nextProbeAt));
    }
}

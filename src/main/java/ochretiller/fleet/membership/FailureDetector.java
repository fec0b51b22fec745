package ochretiller.fleet.membership;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Failure detection: probes one member per protocol period, first directly and then through other
 * members. A member that does not answer becomes suspect, and unresponsive when its suspicion
 * timeout expires.
 *
 * <p>Sources: SWIM (Das, Gupta, Motivala 2002), sections 3.1 (ping, ping-req) and 4.2 (suspicion);
 * Lifeguard (Dadgar, Phillips, Currey 2017), "LHA-Probe" (timeouts stretched by local health) and
 * "LHA-Suspicion" (a suspicion shortens as more members confirm it). Departures: a server that has
 * received no packet since the probe started does not publish the suspicion, and a server keeps
 * probing the suspects that failed its own probes.
 */
final class FailureDetector {
    /** Suspects probed again in each protocol period, in addition to the round. */
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
        this.nextProbeAt = context.randomFractionOf(context.timing().probeInterval());
    }

    /** Repeats pings, requests indirect probes and handles probes that have timed out. */
    void advancePendingProbes() {
        List<Probe> expired = probes.advance(indirectProbers::request);
        expired.forEach(this::handleExpiredProbe);
    }

    private void handleExpiredProbe(Probe probe) {
        if (!probe.isScheduled() || context.hasLeft()) {
            return;
        }
        Optional<MemberRecord> target = liveMember(probe.target());
        if (target.isEmpty()) {
            return;
        }
        context.counters().increment(MembershipCounter.FAILED_PROBES);
        // A server that receives nothing may itself be cut off: it must not announce to the fleet
        // that all other members are gone.
        boolean receivedNothing = probes.hasReceivedNothingSince(probe);
        if (receivedNothing) {
            context.health().degrade();
        }
        MemberRecord record = target.get();
        transitions.suspect(
                record, record.stateVersion(), context.self().incarnation(), receivedNothing);
        record.markOwnProbeFailed();
    }

    private Optional<MemberRecord> liveMember(long incarnation) {
        return context.table().find(incarnation).filter(MemberRecord::isLive);
    }

    /** Marks suspects whose suspicion timeout has expired as unresponsive. */
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
        if (suspect.isReportedUnresponsive()) {
            return timing.minSuspicionTimeout(context.fleetSize());
        }
        return timing.suspicionTimeout(context.fleetSize(), suspect.accusers().size());
    }

    /** Once per protocol period, probes the next member of the round and some suspects. */
    void probeIfDue() {
        if (!context.clock().hasReached(nextProbeAt)) {
            return;
        }
        ProtocolTiming timing = context.timing();
        Duration jitter = context.randomFractionOf(timing.tickInterval()).dividedBy(2);
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
            if (suspect.hasOwnProbeFailed() && !probes.isProbing(suspect.incarnation())) {
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

    /** Completes a probe that was answered from the probed address. */
    void completeProbe(Probe probe, Member responder) {
        probes.remove(probe);
        if (!probe.isAnsweredBy(responder.incarnation())) {
            markReplaced(probe.target());
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

    /** Another incarnation answered at the target's address, so the target no longer runs. */
    private void markReplaced(long target) {
        liveMember(target)
                .ifPresent(
                        record -> {
                            record.publish();
                            transitions.markUnresponsive(record);
                        });
    }

    /** Probes a member on behalf of another one. */
    void relay(MembershipMessage.PingRequest request, Member requester) {
        if (!context.isSelf(request.target())) {
            probes.start(ProbeRequest.relayed(request, requester.address()));
        }
    }

    /** Completes a probe whose target has answered another member. */
    void receiveIndirectAck(MembershipMessage.IndirectAck ack) {
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
                .filter(record -> record.isRefutedBy(target.stateVersion()))
                .ifPresent(
                        record ->
                                transitions.markAlive(
                                        record, target.state(), target.stateVersion()));
    }

    /** Appends the state as text, with times relative to now. */
    void describe(StringBuilder text) {
        text.append(" t").append(schedule);
        text.append(" n").append(context.clock().nanosUntil(nextProbeAt));
    }
}

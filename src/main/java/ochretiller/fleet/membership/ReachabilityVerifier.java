package ochretiller.fleet.membership;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Pings those who do not count as alive, to see whether they can answer. That a packet of theirs
 * arrived shows only that they can send; under a cut in one direction nobody may be taken in by
 * that. Neither SWIM nor Lifeguard has this step.
 */
final class ReachabilityVerifier {
    /** Members that wait to be pinged; further ones are dropped and counted, and come again. */
    private static final int MAX_QUEUED = 256;

    /** Members that are pinged in one tick, so that a crowd of newcomers is spread over time. */
    private static final int PINGS_PER_TICK = 2;

    /** Unresponsive members that this server pings in a second, at most. */
    private static final double MAX_UNRESPONSIVE_RATE = 0.5;

    private static final double NANOS_PER_SECOND = 1e9;

    private final ProtocolContext context;
    private final PendingProbes probes;
    private final Map<Long, Member> queued = new LinkedHashMap<>();

    ReachabilityVerifier(ProtocolContext context, PendingProbes probes) {
        this.context = context;
        this.probes = probes;
    }

    /** Has a member pinged soon. */
    void enqueue(Member member) {
        if (queued.size() < MAX_QUEUED) {
            queued.putIfAbsent(member.incarnation(), member);
        } else {
            context.counters().increment(MembershipCounter.CAPACITY_REJECTIONS);
        }
    }

    /** Pings the first of those that wait. */
    void pingQueued() {
        for (int i = 0; i < PINGS_PER_TICK && !queued.isEmpty(); i++) {
            Member member = queued.values().iterator().next();
            queued.remove(member.incarnation());
            probes.start(ProbeRequest.verification(member));
        }
    }

    /**
     * Now and then pings a member that is unresponsive, so that the halves of a partition find each
     * other. The whole fleet together pings each about once a second, whatever its size.
     */
    void pingUnresponsive() {
        int count = context.table().unresponsive().size();
        if (count == 0) {
            return;
        }
        double perSecond = Math.min(MAX_UNRESPONSIVE_RATE, (double) count / context.fleetSize());
        double seconds = context.timing().tickInterval().toNanos() / NANOS_PER_SECOND;
        if (context.random().nextDouble() >= perSecond * seconds) {
            return;
        }
        int drawn = context.random().nextInt(count);
        for (MemberRecord known : context.table().unresponsive()) {
            if (drawn == 0) {
                probes.start(ProbeRequest.verification(known.member()));
                return;
            }
            drawn--;
        }
    }

    /** Incarnations that wait to be pinged, as text. */
    @Override
    public String toString() {
        return queued.keySet().toString();
    }
}

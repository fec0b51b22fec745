package ochretiller.fleet.membership;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Pings processes that do not count as alive, to verify that they can receive and answer. A packet
 * from a process proves only that it can send, which is not enough if packets are lost in one
 * direction. Neither SWIM nor Lifeguard has this step.
 */
final class ReachabilityVerifier {
    /** Maximum queued members; others are counted and dropped until their next packet. */
    private static final int MAX_QUEUED = 256;

    /** Queued members pinged per tick, so that many new members are spread over time. */
    private static final int PINGS_PER_TICK = 2;

    /** Maximum pings of unresponsive members by this server, per second. */
    private static final double MAX_UNRESPONSIVE_RATE = 0.5;

    private static final double NANOS_PER_SECOND = 1e9;

    private final ProtocolContext context;
    private final PendingProbes probes;
    private final Map<Long, Member> queue = new LinkedHashMap<>();

    ReachabilityVerifier(ProtocolContext context, PendingProbes probes) {
        this.context = context;
        this.probes = probes;
    }

    /** Queues a member for a ping. */
    void enqueue(Member member) {
        if (queue.size() < MAX_QUEUED) {
            queue.putIfAbsent(member.incarnation(), member);
        } else {
            context.counters().increment(MembershipCounter.CAPACITY_REJECTIONS);
        }
    }

    /** Pings the first queued members; called once per tick. */
    void pingQueued() {
        for (int i = 0; i < PINGS_PER_TICK && !queue.isEmpty(); i++) {
            Member member = queue.values().iterator().next();
            queue.remove(member.incarnation());
            probes.start(ProbeRequest.verification(member));
        }
    }

    /**
     * Pings a random unresponsive member, in some ticks only, so that the halves of a partition
     * rediscover each other. The live members together ping each unresponsive one about once per
     * second, whatever the fleet size.
     */
    void pingUnresponsive() {
        int count = context.table().unresponsiveMembers().size();
        if (count == 0) {
            return;
        }
        double pingsPerSecond =
                Math.min(MAX_UNRESPONSIVE_RATE, (double) count / context.fleetSize());
        double seconds = context.timing().tickInterval().toNanos() / NANOS_PER_SECOND;
        if (context.random().nextDouble() >= pingsPerSecond * seconds) {
            return;
        }
        int index = context.random().nextInt(count);
        for (MemberRecord record : context.table().unresponsiveMembers()) {
            if (index == 0) {
                probes.start(ProbeRequest.verification(record.member()));
                return;
            }
            index--;
        }
    }

    /** The queued incarnations as text. */
    @Override
    public String toString() {
        return queue.keySet().toString();
    }
}

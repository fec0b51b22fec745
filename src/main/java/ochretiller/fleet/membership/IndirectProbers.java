package ochretiller.fleet.membership;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Chooses the members that are asked to probe a target that has not answered (the k members of
 * SWIM's ping-req, section 3.1; k = 3). Departure from SWIM: they are chosen from different zones,
 * so that a network failure between two zones leaves another path.
 */
final class IndirectProbers {
    private final ProtocolContext context;
    private final ProbeSchedule schedule;

    IndirectProbers(ProtocolContext context, ProbeSchedule schedule) {
        this.context = context;
        this.schedule = schedule;
    }

    /** Asks one member of the target's zone, one of this server's zone, and one of another zone. */
    void request(Probe probe) {
        Optional<MemberRecord> target = context.table().find(probe.target());
        if (target.isEmpty() || schedule.isEmpty()) {
            return;
        }
        context.counters().increment(MembershipCounter.INDIRECT_PROBES);
        String targetZone = target.get().member().zone();
        String ownZone = context.self().zone();
        List<Predicate<String>> zonePreferences =
                List.of(
                        targetZone::equals,
                        ownZone::equals,
                        zone -> !zone.equals(targetZone) && !zone.equals(ownZone));
        Set<Long> excluded = new HashSet<>(Set.of(probe.target()));
        for (Predicate<String> preferred : zonePreferences) {
            Optional<Member> prober = chooseProber(preferred, excluded, 2 * zonePreferences.size());
            if (prober.isPresent()) {
                excluded.add(prober.get().incarnation());
                context.send(
                        prober.get().address(),
                        new MembershipMessage.PingRequest(
                                probe.nonce(), probe.target(), probe.address()));
            }
        }
    }

    /** Draws random members; returns one in the preferred zone, else the first suitable one. */
    private Optional<Member> chooseProber(
            Predicate<String> preferredZone, Set<Long> excluded, int attempts) {
        Optional<Member> fallback = Optional.empty();
        for (int attempt = 0; attempt < attempts; attempt++) {
            Optional<Member> drawn =
                    context.table()
                            .find(schedule.randomMember())
                            .map(MemberRecord::member)
                            .filter(member -> member.state() == MemberState.ALIVE)
                            .filter(member -> !excluded.contains(member.incarnation()));
            if (drawn.isPresent() && preferredZone.test(drawn.get().zone())) {
                return drawn;
            }
            if (fallback.isEmpty()) {
                fallback = drawn;
            }
        }
        return fallback;
    }
}

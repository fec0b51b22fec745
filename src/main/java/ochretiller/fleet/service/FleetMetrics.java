package ochretiller.fleet.service;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import ochretiller.fleet.membership.MemberSnapshot;
import ochretiller.fleet.membership.MemberState;
import ochretiller.fleet.membership.MembershipCounter;
import ochretiller.fleet.membership.MembershipCounters;
import ochretiller.fleet.membership.MembershipProtocol;
import ochretiller.fleet.transport.PeerSocket;
import ochretiller.fleet.transport.RejectReason;
import ochretiller.fleet.transport.TrafficCounters;
import ochretiller.metrics.Metrics;

/**
 * Registers the metrics of the membership and of the socket. The event loop publishes the values of
 * the gauges, which are read from any thread.
 */
final class FleetMetrics {
    private final Metrics.Counter changes;
    private volatile Map<MemberState, Integer> membersByState = Map.of();
    private volatile int localHealthScore;

    FleetMetrics(Metrics metrics, MembershipProtocol membership, PeerSocket socket) {
        changes =
                metrics.counter(
                        "fleet_changes_total", "Changes of state that this server has seen");
        registerMembers(metrics);
        MembershipCounters counters = membership.counters();
        registerProbes(metrics, counters);
        registerTransitions(metrics, counters);
        registerSynchronization(metrics, counters);
        registerTraffic(metrics, socket.traffic());
        registerRejections(metrics, socket);
    }

    /** Counts a membership change. */
    void countChange() {
        changes.add();
    }

    /** Publishes the number of members by state and this server's health score. */
    void publish(List<MemberSnapshot> view, int healthScore) {
        Map<MemberState, Integer> counts = new EnumMap<>(MemberState.class);
        for (MemberSnapshot each : view) {
            counts.merge(each.member().state(), 1, Integer::sum);
        }
        membersByState = counts;
        localHealthScore = healthScore;
    }

    private void registerMembers(Metrics metrics) {
        for (MemberState state : MemberState.values()) {
            String name = state.lowerCaseName();
            metrics.gauge(
                    "fleet_members_" + name,
                    "Members that are seen as " + name + ", this server among them",
                    () -> membersByState.getOrDefault(state, 0));
        }
        metrics.gauge(
                "fleet_doubt", "How far this server doubts itself, 0 to 8", () -> localHealthScore);
    }

    private static void registerProbes(Metrics metrics, MembershipCounters counters) {
        metrics.counterWithCallback(
                "fleet_probes_total",
                "Members that were asked in turn",
                () -> counters.get(MembershipCounter.PROBES));
        metrics.counterWithCallback(
                "fleet_probes_missed_total",
                "Members that answered neither directly nor through others",
                () -> counters.get(MembershipCounter.FAILED_PROBES));
        metrics.counterWithCallback(
                "fleet_probes_indirect_total",
                "Probes that others were asked to carry on",
                () -> counters.get(MembershipCounter.INDIRECT_PROBES));
    }

    private static void registerTransitions(Metrics metrics, MembershipCounters counters) {
        metrics.counterWithCallback(
                "fleet_suspicions_total",
                "Members that became suspect",
                () -> counters.get(MembershipCounter.SUSPICIONS));
        metrics.counterWithCallback(
                "fleet_silenced_total",
                "Members that were judged silent",
                () -> counters.get(MembershipCounter.BECAME_UNRESPONSIVE));
        metrics.counterWithCallback(
                "fleet_returned_total",
                "Members that came back",
                () -> counters.get(MembershipCounter.RETURNED));
        metrics.counterWithCallback(
                "fleet_refuted_total",
                "Times that this server said that it is there",
                () -> counters.get(MembershipCounter.REFUTATIONS));
        metrics.counterWithCallback(
                "fleet_twins_total",
                "Other processes that bear this server's name",
                () -> counters.get(MembershipCounter.DUPLICATE_NAMES));
    }

    private static void registerSynchronization(Metrics metrics, MembershipCounters counters) {
        metrics.counterWithCallback(
                "fleet_late_timers_total",
                "Timers that came late",
                () -> counters.get(MembershipCounter.LATE_TICKS));
        metrics.counterWithCallback(
                "fleet_views_compared_total",
                "Comparisons of views that this server began",
                () -> counters.get(MembershipCounter.SYNCS));
        metrics.counterWithCallback(
                "fleet_views_refused_total",
                "Comparisons that were too many",
                () -> counters.get(MembershipCounter.SYNCS_REJECTED));
        metrics.counterWithCallback(
                "fleet_full_total",
                "Newcomers and questions for which there was no room",
                () -> counters.get(MembershipCounter.CAPACITY_REJECTIONS));
    }

    private static void registerTraffic(Metrics metrics, TrafficCounters traffic) {
        metrics.counterWithCallback(
                "fleet_sent_packets_total", "Packets sent to peers", traffic::sentPackets);
        metrics.counterWithCallback(
                "fleet_sent_bytes_total", "Bytes sent to peers", traffic::sentBytes);
        metrics.counterWithCallback(
                "fleet_unsent_packets_total",
                "Packets that the socket did not take",
                traffic::droppedPackets);
        metrics.counterWithCallback(
                "fleet_read_packets_total",
                "Packets read, refused ones among them",
                traffic::receivedPackets);
        metrics.counterWithCallback(
                "fleet_read_bytes_total",
                "Bytes read, refused ones among them",
                traffic::receivedBytes);
    }

    private static void registerRejections(Metrics metrics, PeerSocket socket) {
        for (RejectReason reason : RejectReason.values()) {
            metrics.counterWithCallback(
                    "fleet_refused_" + reason.lowerCaseName() + "_total",
                    "Packets refused: " + reason.externalName(),
                    () -> socket.rejectedCount(reason));
        }
    }
}

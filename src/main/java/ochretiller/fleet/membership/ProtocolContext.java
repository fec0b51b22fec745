package ochretiller.fleet.membership;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import ochretiller.fleet.membership.MembershipMessage.Gossip;

/**
 * State shared by the components of one {@link MembershipProtocol}: this server's record, the
 * member table, and the packets and changes that the caller has yet to take.
 */
final class ProtocolContext {
    private final ProtocolTiming timing;
    private final RandomGenerator random;
    private final PauseExcludingClock clock;
    private final MemberTable table = new MemberTable();
    private final GossipBuffer gossip = new GossipBuffer();
    private final LocalHealth health = new LocalHealth();
    private final MembershipCounters counters = new MembershipCounters();
    private final List<OutboundPacket> outbound = new ArrayList<>();
    private final List<MembershipChange> changes = new ArrayList<>();
    private Member self;

    ProtocolContext(
            Member self, ProtocolTiming timing, RandomGenerator random, PauseExcludingClock clock) {
        this.self = self;
        this.timing = timing;
        this.random = random;
        this.clock = clock;
    }

    ProtocolTiming timing() {
        return timing;
    }

    RandomGenerator random() {
        return random;
    }

    PauseExcludingClock clock() {
        return clock;
    }

    MemberTable table() {
        return table;
    }

    GossipBuffer gossip() {
        return gossip;
    }

    LocalHealth health() {
        return health;
    }

    MembershipCounters counters() {
        return counters;
    }

    Member self() {
        return self;
    }

    boolean isSelf(long incarnation) {
        return incarnation == self.incarnation();
    }

    boolean isJoining() {
        return self.state() == MemberState.JOINING;
    }

    boolean hasLeft() {
        return self.state() == MemberState.LEFT;
    }

    /** Sets this server's state and state version; a higher version refutes accusations. */
    void updateSelf(MemberState state, long stateVersion) {
        self = self.withState(state, stateVersion);
    }

    /** The number of live members, this server included. */
    int fleetSize() {
        return table.liveCount() + 1;
    }

    long digest() {
        return table.digest(self);
    }

    /** A random duration below a span, which keeps timers of servers from firing in step. */
    Duration randomFractionOf(Duration span) {
        return Duration.ofNanos((long) (span.toNanos() * random.nextDouble()));
    }

    /** Queues a message to send, together with this server's current record. */
    void send(PeerAddress destination, MembershipMessage message) {
        outbound.add(new OutboundPacket(destination, new MembershipPacket(self, message)));
    }

    /**
     * Takes the gossip for a message to a member. If the recipient is suspect or unresponsive in
     * this view, that update comes first so that the recipient can refute it (Lifeguard's "buddy
     * system").
     */
    Gossip gossipFor(long recipient, boolean digestsAgree) {
        Optional<MembershipUpdate> accusation =
                table.find(recipient)
                        .filter(record -> record.isSuspect() || record.isUnresponsive())
                        .map(MemberRecord::toUpdate);
        int limit = timing.retransmitLimit(fleetSize());
        return gossip.take(table, self, new GossipOptions(limit, digestsAgree), accusation);
    }

    /** Queues a change of the view, for log lines and for other components of the server. */
    void report(MembershipChange change) {
        changes.add(change);
    }

    /** Removes and returns the queued packets, in order. */
    List<OutboundPacket> takeOutbound() {
        return drain(outbound);
    }

    /** Removes and returns the queued changes, in order. */
    List<MembershipChange> takeChanges() {
        return drain(changes);
    }

    private static <T> List<T> drain(List<T> list) {
        if (list.isEmpty()) {
            return List.of();
        }
        List<T> all = List.copyOf(list);
        list.clear();
        return all;
    }
}

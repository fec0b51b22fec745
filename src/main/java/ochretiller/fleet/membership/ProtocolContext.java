package ochretiller.fleet.membership;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import ochretiller.fleet.membership.MembershipMessage.Gossip;

/**
 * What the parts of one server's membership protocol share: its own record, the table, what is
 * waiting to be sent and reported. Owned by one {@link MembershipProtocol}.
 */
final class ProtocolContext {
    private final ProtocolTiming timing;
    private final RandomGenerator random;
    private final AwakeClock clock;
    private final MemberTable table = new MemberTable();
    private final GossipBuffer gossip = new GossipBuffer();
    private final LocalHealth health = new LocalHealth();
    private final MembershipCounters counters = new MembershipCounters();
    private final List<OutboundPacket> outbound = new ArrayList<>();
    private final List<MembershipChange> changes = new ArrayList<>();
    private Member self;

    ProtocolContext(Member self, ProtocolTiming timing, RandomGenerator random, AwakeClock clock) {
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

    AwakeClock clock() {
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

    /** Raises this server's own state version, which overrides whatever is said of it. */
    void updateSelf(MemberState state, long stateVersion) {
        self = self.withState(state, stateVersion);
    }

    /** Members that are live, this server included. */
    int fleetSize() {
        return table.liveCount() + 1;
    }

    long digest() {
        return table.digest(self);
    }

    /** A random part of a span, against timers that fire in step. */
    Duration randomPartOf(Duration span) {
        return Duration.ofNanos((long) (span.toNanos() * random.nextDouble()));
    }

    /** Has a message sent, with this server's own record as it is now. */
    void send(PeerAddress destination, MembershipMessage message) {
        outbound.add(new OutboundPacket(destination, new MembershipPacket(self, message)));
    }

    /**
     * Takes the gossip for a message to a member. If the member itself is held to be suspect or
     * unresponsive it is told so first, so that it can refute it ("buddy system" of Lifeguard).
     */
    Gossip gossipFor(long recipient, boolean digestsAgree) {
        Optional<MembershipUpdate> accusation =
                table.find(recipient)
                        .filter(known -> known.isSuspect() || known.isUnresponsive())
                        .map(MemberRecord::toUpdate);
        int limit = timing.retransmitLimit(fleetSize());
        return gossip.take(table, self, new GossipTerms(limit, digestsAgree), accusation);
    }

    /** Records a change of the view, for the operators and for other parts of the server. */
    void report(MembershipChange change) {
        changes.add(change);
    }

    /** Packets to send since the last call, in order. */
    List<OutboundPacket> takeOutbound() {
        return drain(outbound);
    }

    /** Changes since the last call, in order. */
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

package ochretiller.fleet.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Tests the protocol of one server; the tests send the packets of its peers. */
class MembershipProtocolTest {
    private static final ProtocolTiming TIMING = ProtocolTiming.DEFAULT;

    private Duration now = Duration.ZERO;
    private final MembershipProtocol protocol =
            new MembershipProtocol(
                    member("a", 1, 1),
                    List.of(new PeerAddress("10.0.0.2", 1)),
                    TIMING,
                    new SplittableRandom(1),
                    now);

    private static Member member(String name, long incarnation, long stateVersion) {
        return member(name, incarnation, "10.0.0." + incarnation, stateVersion);
    }

    private static Member member(String name, long incarnation, String host, long stateVersion) {
        return new Member(
                new MemberId(name, incarnation),
                new PeerAddress(host, 1),
                "z",
                "b",
                Optional.empty(),
                stateVersion,
                MemberState.ALIVE);
    }

    private static MembershipUpdate update(
            long incarnation, long stateVersion, MemberState state, long accuser) {
        return new MembershipUpdate(incarnation, stateVersion, state, accuser);
    }

    private static MembershipMessage.Ping ping(MembershipUpdate... updates) {
        MembershipMessage.Gossip gossip = new MembershipMessage.Gossip(List.of(updates), List.of());
        return new MembershipMessage.Ping(7, 1, gossip, 0);
    }

    /** Ticks until the span is over and discards the packets sent meanwhile. */
    private void passTime(Duration span) {
        Duration until = now.plus(span);
        while (now.compareTo(until) < 0) {
            tick();
        }
    }

    private List<OutboundPacket> tick() {
        now = protocol.nextTick();
        protocol.tick(now);
        return protocol.takeOutbound();
    }

    private void receive(Member sender, MembershipMessage message) {
        protocol.receive(new MembershipPacket(sender, message), now);
    }

    /** Sends a packet of a new member and answers the ping that verifies it. */
    private void join(Member newcomer) {
        receive(newcomer, ping());
        for (int i = 0; i < 40; i++) {
            for (OutboundPacket packet : tick()) {
                if (packet.destination().equals(newcomer.address())
                        && packet.packet().message() instanceof MembershipMessage.Ping ping
                        && ping.target() == newcomer.incarnation()) {
                    MembershipMessage.Gossip none = MembershipMessage.Gossip.NONE;
                    receive(newcomer, new MembershipMessage.Ack(ping.nonce(), none, 0));
                    protocol.takeOutbound();
                    return;
                }
            }
        }
        throw new AssertionError("not pinged within 40 ticks: " + newcomer.id());
    }

    private MemberState stateOf(long incarnation) {
        return protocol.snapshot().stream()
                .map(MemberSnapshot::member)
                .filter(member -> member.incarnation() == incarnation)
                .findFirst()
                .orElseThrow()
                .state();
    }

    @Test
    void senderIsNotAMemberUntilItAnswersAPing() {
        receive(member("b", 2, 1), ping());
        assertThat(protocol.liveCount()).isZero();

        join(member("b", 2, 1));
        assertThat(stateOf(2)).isEqualTo(MemberState.ALIVE);
    }

    @Test
    void memberThatDoesNotAnswerBecomesSuspectThenUnresponsive() {
        join(member("b", 2, 1));
        for (int i = 0; i < 40 && stateOf(2) == MemberState.ALIVE; i++) {
            tick();
        }
        assertThat(stateOf(2)).isEqualTo(MemberState.SUSPECT);

        passTime(Duration.ofSeconds(20));
        assertThat(stateOf(2)).isEqualTo(MemberState.UNRESPONSIVE);
    }

    @Test
    void higherStateVersionRefutesSuspicion() {
        join(member("b", 2, 1));
        join(member("c", 3, 1));
        receive(member("c", 3, 1), ping(update(2, 1, MemberState.SUSPECT, 3)));
        assertThat(stateOf(2)).isEqualTo(MemberState.SUSPECT);

        receive(member("c", 3, 1), ping(update(2, 2, MemberState.ALIVE, 0)));
        assertThat(stateOf(2)).isEqualTo(MemberState.ALIVE);

        receive(member("c", 3, 1), ping(update(2, 1, MemberState.SUSPECT, 3)));
        assertThat(stateOf(2)).as("accusation already refuted").isEqualTo(MemberState.ALIVE);
    }

    @Test
    void accusationAgainstThisServerIsRefutedOnce() {
        join(member("b", 2, 1));
        long version = protocol.self().stateVersion();

        receive(member("b", 2, 1), ping(update(1, version, MemberState.SUSPECT, 2)));
        assertThat(protocol.self().stateVersion()).isEqualTo(version + 1);

        receive(member("b", 2, 1), ping(update(1, version, MemberState.SUSPECT, 2)));
        assertThat(protocol.self().stateVersion()).isEqualTo(version + 1);
        assertThat(protocol.counters().get(MembershipCounter.REFUTATIONS)).isEqualTo(1);
    }

    @Test
    void unresponsiveUpdateFromAnotherMemberOnlyStartsSuspicion() {
        join(member("b", 2, 1));
        join(member("c", 3, 1));

        receive(member("c", 3, 1), ping(update(2, 1, MemberState.UNRESPONSIVE, 0)));

        assertThat(stateOf(2)).isEqualTo(MemberState.SUSPECT);
    }

    @Test
    void unresponsiveMemberReturnsOnlyByAnsweringAPing() {
        join(member("b", 2, 1));
        join(member("c", 3, 1));
        passTime(Duration.ofSeconds(30));
        assertThat(stateOf(2)).isEqualTo(MemberState.UNRESPONSIVE);

        receive(member("b", 2, 5), ping());
        assertThat(stateOf(2))
                .as("a packet proves that it can send, not that it can receive")
                .isEqualTo(MemberState.UNRESPONSIVE);

        join(member("b", 2, 5));
        assertThat(stateOf(2)).isEqualTo(MemberState.ALIVE);
    }

    @Test
    void gossipFromUnknownSenderIsIgnored() {
        join(member("b", 2, 1));

        receive(member("x", 9, 1), ping(update(2, 4, MemberState.LEFT, 0)));

        assertThat(stateOf(2)).isEqualTo(MemberState.ALIVE);
    }

    @Test
    void pauseOfThisServerDoesNotMakeMembersUnresponsive() {
        join(member("b", 2, 1));

        now = now.plusSeconds(60);
        protocol.tick(now);
        assertThat(stateOf(2)).isEqualTo(MemberState.ALIVE);

        for (int i = 0; i < 3; i++) {
            tick();
        }
        assertThat(stateOf(2)).as("no member had time to answer").isEqualTo(MemberState.ALIVE);
        assertThat(protocol.localHealthScore()).isPositive();
    }

    @Test
    void leaveIsAnnouncedToAllMembers() {
        join(member("b", 2, 1));
        join(member("c", 3, 1));

        protocol.leave(now);

        assertThat(protocol.takeOutbound())
                .extracting(packet -> packet.destination().host())
                .contains("10.0.0.2", "10.0.0.3");
    }

    @Test
    void leftStateIsFinal() {
        join(member("b", 2, 1));
        join(member("c", 3, 1));
        protocol.leave(now);

        Member leaver = member("b", 2, 1).withState(MemberState.LEFT, 2);
        receive(leaver, new MembershipMessage.UpdatePage(List.of(leaver.toUpdate(0))));
        receive(member("c", 3, 1), ping(update(2, 9, MemberState.ALIVE, 0)));

        assertThat(stateOf(2)).isEqualTo(MemberState.LEFT);
    }

    @Test
    void previousIncarnationAtOwnAddressIsUnresponsive() {
        join(member("b", 2, 1));

        Member previous = member("a", 77, "10.0.0.1", 4);
        receive(member("b", 2, 1), new MembershipMessage.MemberPage(List.of(previous)));

        assertThat(stateOf(77)).isEqualTo(MemberState.UNRESPONSIVE);
    }

    @Test
    void answerFromNewIncarnationMakesPreviousOneAtThatAddressUnresponsive() {
        join(member("b", 2, 1));

        join(member("d", 22, "10.0.0.2", 1));

        assertThat(stateOf(2)).isEqualTo(MemberState.UNRESPONSIVE);
        assertThat(stateOf(22)).isEqualTo(MemberState.ALIVE);
    }

    @Test
    void duplicateNameIsReportedOnce() {
        Member duplicate = member("a", 50, 1);

        receive(duplicate, ping());
        receive(duplicate, ping());

        assertThat(protocol.takeChanges())
                .filteredOn(change -> change instanceof MembershipChange.DuplicateName)
                .hasSize(1);
    }

    @Test
    void newViewContainsOnlyThisServer() {
        ProtocolTiming shortRetention =
                new ProtocolTiming(TIMING.probeInterval(), Duration.ofSeconds(5), 10);

        MembershipProtocol alone =
                new MembershipProtocol(
                        member("a", 1, 1), List.of(), shortRetention, new SplittableRandom(1), now);

        assertThat(alone.snapshot()).hasSize(1);
    }
}

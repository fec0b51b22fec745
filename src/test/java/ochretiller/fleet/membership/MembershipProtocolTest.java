package ochretiller.fleet.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** One server's view, with its peers played by hand. */
class MembershipProtocolTest {
    private static final ProtocolTiming PACE = ProtocolTiming.DEFAULT;
    private Duration now = Duration.ZERO;
    private final MembershipProtocol members =
            new MembershipProtocol(
                    member("a", 1, 1),
                    List.of(new PeerAddress("10.0.0.2", 1)),
                    PACE,
                    new SplittableRandom(1),
                    now);

    private static Member member(String name, long start, long number) {
        return new Member(
                new MemberId(name, start),
                new PeerAddress("10.0.0." + start, 1),
                "z",
                "b",
                null,
                number,
                MemberState.ALIVE);
    }

    /** Ticks until the span is over; what is sent meanwhile is lost. */
    private void pass(Duration span) {
        for (Duration until = now.plus(span); now.compareTo(until) < 0; ) {
            tick();
        }
    }

    private List<OutboundPacket> tick() {
        now = members.nextTick();
        members.tick(now);
        return members.takeOutbound();
    }

    private void hear(Member from, MembershipMessage message) {
        members.receive(new MembershipPacket(from, message), now);
    }

    private static MembershipMessage.Ping ping(MembershipUpdate... news) {
        return new MembershipMessage.Ping(
                7, 1, new MembershipMessage.Gossip(List.of(news), List.of()), 0);
    }

    /** Lets it be asked and answered, as a newcomer is. */
    private void add(Member peer) {
        hear(peer, ping());
        for (int i = 0; i < 40; i++) {
            for (OutboundPacket send : tick()) {
                if (send.destination().equals(peer.address())
                        && send.packet().message() instanceof MembershipMessage.Ping asked
                        && asked.target() == peer.incarnation()) {
                    hear(
                            peer,
                            new MembershipMessage.Ack(
                                    asked.nonce(), MembershipMessage.Gossip.NONE, 0));
                    members.takeOutbound();
                    return;
                }
            }
        }
        throw new AssertionError("never asked");
    }

    private MemberState state(long start) {
        return members.snapshot().stream()
                .filter(seen -> seen.member().incarnation() == start)
                .findFirst()
                .orElseThrow()
                .member()
                .state();
    }

    @Test
    void whoeverOnlySpeaksIsNoMemberUntilItAnswers() {
        hear(member("b", 2, 1), ping());
        assertThat(members.liveCount()).isZero();
        add(member("b", 2, 1));
        assertThat(state(2)).isEqualTo(MemberState.ALIVE);
    }

    @Test
    void aMemberThatAnswersNobodyIsSuspectThenSilent() {
        add(member("b", 2, 1));
        for (int i = 0; i < 40 && state(2) == MemberState.ALIVE; i++) {
            tick();
        }
        assertThat(state(2)).isEqualTo(MemberState.SUSPECT);
        pass(Duration.ofSeconds(20));
        assertThat(state(2)).isEqualTo(MemberState.UNRESPONSIVE);
    }

    @Test
    void aSuspectThatSaysItIsThereIsThere() {
        add(member("b", 2, 1));
        add(member("c", 3, 1));
        hear(member("c", 3, 1), ping(new MembershipUpdate(2, 1, MemberState.SUSPECT, 3)));
        assertThat(state(2)).isEqualTo(MemberState.SUSPECT);
        hear(member("c", 3, 1), ping(new MembershipUpdate(2, 2, MemberState.ALIVE, 0)));
        assertThat(state(2)).isEqualTo(MemberState.ALIVE);
        hear(member("c", 3, 1), ping(new MembershipUpdate(2, 1, MemberState.SUSPECT, 3)));
        assertThat(state(2)).as("an old word").isEqualTo(MemberState.ALIVE);
    }

    @Test
    void whatIsSaidOfItselfIsAnsweredWithAGreaterNumber() {
        add(member("b", 2, 1));
        long number = members.self().stateVersion();
        hear(member("b", 2, 1), ping(new MembershipUpdate(1, number, MemberState.SUSPECT, 2)));
        assertThat(members.self().stateVersion()).isEqualTo(number + 1);
        hear(member("b", 2, 1), ping(new MembershipUpdate(1, number, MemberState.SUSPECT, 2)));
        assertThat(members.self().stateVersion()).as("once is enough").isEqualTo(number + 1);
        assertThat(members.counters().refutations).isEqualTo(1);
    }

    @Test
    void anothersVerdictTakesNobodyAwayAtOnce() {
        add(member("b", 2, 1));
        add(member("c", 3, 1));
        hear(member("c", 3, 1), ping(new MembershipUpdate(2, 1, MemberState.UNRESPONSIVE, 0)));
        assertThat(state(2)).isEqualTo(MemberState.SUSPECT);
    }

    @Test
    void aSilentOneComesBackOnlyWithAnAnswer() {
        add(member("b", 2, 1));
        add(member("c", 3, 1));
        pass(Duration.ofSeconds(30));
        assertThat(state(2)).isEqualTo(MemberState.UNRESPONSIVE);
        hear(member("b", 2, 5), ping());
        assertThat(state(2))
                .as("what it can send need not mean that it can hear")
                .isEqualTo(MemberState.UNRESPONSIVE);
        add(member("b", 2, 5));
        assertThat(state(2)).isEqualTo(MemberState.ALIVE);
    }

    @Test
    void wordsOfOneThatIsNotInAreNotTaken() {
        add(member("b", 2, 1));
        hear(member("x", 9, 1), ping(new MembershipUpdate(2, 4, MemberState.LEFT, 0)));
        assertThat(state(2)).isEqualTo(MemberState.ALIVE);
    }

    @Test
    void aPauseMakesNobodySilent() {
        add(member("b", 2, 1));
        now = now.plusSeconds(60);
        members.tick(now);
        assertThat(state(2)).isEqualTo(MemberState.ALIVE);
        for (int i = 0; i < 3; i++) {
            tick();
        }
        assertThat(state(2)).as("nobody had the chance to answer").isEqualTo(MemberState.ALIVE);
        assertThat(members.localHealthScore()).isPositive();
    }

    @Test
    void leavingIsFinalAndToldToAll() {
        add(member("b", 2, 1));
        add(member("c", 3, 1));
        members.leave(now);
        assertThat(members.takeOutbound())
                .extracting(send -> send.destination().host())
                .contains("10.0.0.2", "10.0.0.3");
        Member gone = member("b", 2, 1).withState(MemberState.LEFT, 2);
        hear(gone, new MembershipMessage.UpdatePage(List.of(gone.toUpdate(0))));
        hear(member("c", 3, 1), ping(new MembershipUpdate(2, 9, MemberState.ALIVE, 0)));
        assertThat(state(2)).isEqualTo(MemberState.LEFT);
    }

    @Test
    void aPredecessorAtItsOwnAddressIsKnownToBeGone() {
        add(member("b", 2, 1));
        Member old =
                new Member(
                        new MemberId("a", 77),
                        new PeerAddress("10.0.0.1", 1),
                        "z",
                        "b",
                        null,
                        4,
                        MemberState.ALIVE);
        hear(member("b", 2, 1), new MembershipMessage.MemberPage(List.of(old)));
        assertThat(state(77)).isEqualTo(MemberState.UNRESPONSIVE);
    }

    @Test
    void anAnswerByAnotherStartTakesTheOldOneAway() {
        Member old = member("b", 2, 1);
        add(old);
        Member fresh =
                new Member(
                        new MemberId("d", 22), old.address(), "z", "b", null, 1, MemberState.ALIVE);
        add(fresh);
        assertThat(state(2)).isEqualTo(MemberState.UNRESPONSIVE);
        assertThat(state(22)).isEqualTo(MemberState.ALIVE);
    }

    @Test
    void aTwinIsToldOnce() {
        Member twin =
                new Member(
                        new MemberId("a", 50),
                        new PeerAddress("10.0.0.50", 1),
                        "z",
                        "b",
                        null,
                        1,
                        MemberState.ALIVE);
        hear(twin, ping());
        hear(twin, ping());
        assertThat(members.takeChanges())
                .filteredOn(change -> change.kind() == MembershipChange.Kind.DUPLICATE_NAME)
                .hasSize(1);
    }

    @Test
    void membersThatAreGoneAreForgotten() {
        MembershipProtocol short1 =
                new MembershipProtocol(
                        member("a", 1, 1),
                        List.of(),
                        new ProtocolTiming(PACE.probeInterval(), Duration.ofSeconds(5), 10),
                        new SplittableRandom(1),
                        now);
        assertThat(short1.snapshot()).hasSize(1);
        MemberTable table = new MemberTable();
        for (int i = 2; i < 30; i++) {
            table.add(member("g" + i, i, 1).withState(MemberState.UNRESPONSIVE, 1), Duration.ZERO);
        }
        assertThat(table.gone()).hasSize(28);
        assertThat(table.dropOldestGone()).isTrue();
        assertThat(table.get(2)).isNull();
    }

    @Test
    void digestsAreEqualWhateverTheOrder() {
        MemberTable one = new MemberTable();
        MemberTable other = new MemberTable();
        for (int i = 2; i < 9; i++) {
            one.add(member("m" + i, i, i), Duration.ZERO);
        }
        for (int i = 8; i > 1; i--) {
            other.add(member("m" + i, i, i), Duration.ZERO);
        }
        Member self = member("a", 1, 1);
        assertThat(one.digest(self)).isEqualTo(other.digest(self));
        MemberRecord known = one.get(5);
        one.become(
                known,
                known.member.withState(MemberState.SUSPECT, known.member.stateVersion()),
                Duration.ZERO);
        assertThat(one.digest(self)).as("a suspect is still there").isEqualTo(other.digest(self));
        one.become(
                known,
                known.member.withState(MemberState.UNRESPONSIVE, known.member.stateVersion()),
                Duration.ZERO);
        assertThat(one.digest(self)).isNotEqualTo(other.digest(self));
    }

    @Test
    void suspicionIsShorterTheMoreConfirmItAndLongerInLargeFleets() {
        assertThat(PACE.suspicionTimeout(24, 4)).isEqualTo(PACE.minSuspicionTimeout(24));
        assertThat(PACE.suspicionTimeout(24, 1))
                .isEqualTo(PACE.minSuspicionTimeout(24).multipliedBy(3));
        assertThat(PACE.suspicionTimeout(24, 2))
                .isBetween(PACE.suspicionTimeout(24, 3), PACE.suspicionTimeout(24, 1));
        assertThat(PACE.minSuspicionTimeout(1000))
                .isBetween(
                        PACE.minSuspicionTimeout(24).multipliedBy(2),
                        PACE.minSuspicionTimeout(24).multipliedBy(3));
        assertThat(PACE.minSuspicionTimeout(3))
                .as("a pause is as long in a small fleet")
                .isEqualTo(PACE.minSuspicionTimeout(24));
    }
}

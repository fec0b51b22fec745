package ochretiller.fleet.members;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** One server's view, with its peers played by hand. */
class MembersTest {
    private static final Pace PACE = Pace.USUAL;
    private Duration now = Duration.ZERO;
    private final Members members =
            new Members(
                    member("a", 1, 1),
                    List.of(new Address("10.0.0.2", 1)),
                    PACE,
                    new SplittableRandom(1),
                    now);

    private static Member member(String name, long start, long number) {
        return new Member(
                new MemberId(name, start),
                new Address("10.0.0." + start, 1),
                "z",
                "b",
                null,
                number,
                State.HERE);
    }

    /** Ticks until the span is over; what is sent meanwhile is lost. */
    private void pass(Duration span) {
        for (Duration until = now.plus(span); now.compareTo(until) < 0; ) {
            tick();
        }
    }

    private List<Send> tick() {
        now = members.next();
        members.tick(now);
        return members.sends();
    }

    private void hear(Member from, Message message) {
        members.received(new Packet(from, message), now);
    }

    private static Message.Ping ping(Entry... news) {
        return new Message.Ping(7, 1, new Message.News(List.of(news), List.of()), 0);
    }

    /** Lets it be asked and answered, as a newcomer is. */
    private void add(Member peer) {
        hear(peer, ping());
        for (int i = 0; i < 40; i++) {
            for (Send send : tick()) {
                if (send.to().equals(peer.address())
                        && send.packet().message() instanceof Message.Ping asked
                        && asked.target() == peer.start()) {
                    hear(peer, new Message.Ack(asked.nonce(), Message.News.NONE, 0));
                    members.sends();
                    return;
                }
            }
        }
        throw new AssertionError("never asked");
    }

    private State state(long start) {
        return members.view().stream()
                .filter(seen -> seen.member().start() == start)
                .findFirst()
                .orElseThrow()
                .member()
                .state();
    }

    @Test
    void whoeverOnlySpeaksIsNoMemberUntilItAnswers() {
        hear(member("b", 2, 1), ping());
        assertThat(members.live()).isZero();
        add(member("b", 2, 1));
        assertThat(state(2)).isEqualTo(State.HERE);
    }

    @Test
    void aMemberThatAnswersNobodyIsSuspectThenSilent() {
        add(member("b", 2, 1));
        for (int i = 0; i < 40 && state(2) == State.HERE; i++) {
            tick();
        }
        assertThat(state(2)).isEqualTo(State.SUSPECT);
        pass(Duration.ofSeconds(20));
        assertThat(state(2)).isEqualTo(State.SILENT);
    }

    @Test
    void aSuspectThatSaysItIsThereIsThere() {
        add(member("b", 2, 1));
        add(member("c", 3, 1));
        hear(member("c", 3, 1), ping(new Entry(2, 1, State.SUSPECT, 3)));
        assertThat(state(2)).isEqualTo(State.SUSPECT);
        hear(member("c", 3, 1), ping(new Entry(2, 2, State.HERE, 0)));
        assertThat(state(2)).isEqualTo(State.HERE);
        hear(member("c", 3, 1), ping(new Entry(2, 1, State.SUSPECT, 3)));
        assertThat(state(2)).as("an old word").isEqualTo(State.HERE);
    }

    @Test
    void whatIsSaidOfItselfIsAnsweredWithAGreaterNumber() {
        add(member("b", 2, 1));
        long number = members.self().number();
        hear(member("b", 2, 1), ping(new Entry(1, number, State.SUSPECT, 2)));
        assertThat(members.self().number()).isEqualTo(number + 1);
        hear(member("b", 2, 1), ping(new Entry(1, number, State.SUSPECT, 2)));
        assertThat(members.self().number()).as("once is enough").isEqualTo(number + 1);
        assertThat(members.counts().refuted).isEqualTo(1);
    }

    @Test
    void anothersVerdictTakesNobodyAwayAtOnce() {
        add(member("b", 2, 1));
        add(member("c", 3, 1));
        hear(member("c", 3, 1), ping(new Entry(2, 1, State.SILENT, 0)));
        assertThat(state(2)).isEqualTo(State.SUSPECT);
    }

    @Test
    void aSilentOneComesBackOnlyWithAnAnswer() {
        add(member("b", 2, 1));
        add(member("c", 3, 1));
        pass(Duration.ofSeconds(30));
        assertThat(state(2)).isEqualTo(State.SILENT);
        hear(member("b", 2, 5), ping());
        assertThat(state(2))
                .as("what it can send need not mean that it can hear")
                .isEqualTo(State.SILENT);
        add(member("b", 2, 5));
        assertThat(state(2)).isEqualTo(State.HERE);
    }

    @Test
    void wordsOfOneThatIsNotInAreNotTaken() {
        add(member("b", 2, 1));
        hear(member("x", 9, 1), ping(new Entry(2, 4, State.LEFT, 0)));
        assertThat(state(2)).isEqualTo(State.HERE);
    }

    @Test
    void aPauseMakesNobodySilent() {
        add(member("b", 2, 1));
        now = now.plusSeconds(60);
        members.tick(now);
        assertThat(state(2)).isEqualTo(State.HERE);
        for (int i = 0; i < 3; i++) {
            tick();
        }
        assertThat(state(2)).as("nobody had the chance to answer").isEqualTo(State.HERE);
        assertThat(members.doubt()).isPositive();
    }

    @Test
    void leavingIsFinalAndToldToAll() {
        add(member("b", 2, 1));
        add(member("c", 3, 1));
        members.leave(now);
        assertThat(members.sends())
                .extracting(send -> send.to().host())
                .contains("10.0.0.2", "10.0.0.3");
        Member gone = member("b", 2, 1).as(State.LEFT, 2);
        hear(gone, new Message.States(List.of(gone.entry(0))));
        hear(member("c", 3, 1), ping(new Entry(2, 9, State.HERE, 0)));
        assertThat(state(2)).isEqualTo(State.LEFT);
    }

    @Test
    void aPredecessorAtItsOwnAddressIsKnownToBeGone() {
        add(member("b", 2, 1));
        Member old =
                new Member(
                        new MemberId("a", 77),
                        new Address("10.0.0.1", 1),
                        "z",
                        "b",
                        null,
                        4,
                        State.HERE);
        hear(member("b", 2, 1), new Message.Full(List.of(old)));
        assertThat(state(77)).isEqualTo(State.SILENT);
    }

    @Test
    void anAnswerByAnotherStartTakesTheOldOneAway() {
        Member old = member("b", 2, 1);
        add(old);
        Member fresh =
                new Member(new MemberId("d", 22), old.address(), "z", "b", null, 1, State.HERE);
        add(fresh);
        assertThat(state(2)).isEqualTo(State.SILENT);
        assertThat(state(22)).isEqualTo(State.HERE);
    }

    @Test
    void aTwinIsToldOnce() {
        Member twin =
                new Member(
                        new MemberId("a", 50),
                        new Address("10.0.0.50", 1),
                        "z",
                        "b",
                        null,
                        1,
                        State.HERE);
        hear(twin, ping());
        hear(twin, ping());
        assertThat(members.changes())
                .filteredOn(change -> change.kind() == Change.Kind.TWIN)
                .hasSize(1);
    }

    @Test
    void membersThatAreGoneAreForgotten() {
        Members short1 =
                new Members(
                        member("a", 1, 1),
                        List.of(),
                        new Pace(PACE.probe(), Duration.ofSeconds(5), 10),
                        new SplittableRandom(1),
                        now);
        assertThat(short1.view()).hasSize(1);
        Table table = new Table();
        for (int i = 2; i < 30; i++) {
            table.add(member("g" + i, i, 1).as(State.SILENT, 1), Duration.ZERO);
        }
        assertThat(table.gone()).hasSize(28);
        assertThat(table.dropOldestGone()).isTrue();
        assertThat(table.get(2)).isNull();
    }

    @Test
    void digestsAreEqualWhateverTheOrder() {
        Table one = new Table();
        Table other = new Table();
        for (int i = 2; i < 9; i++) {
            one.add(member("m" + i, i, i), Duration.ZERO);
        }
        for (int i = 8; i > 1; i--) {
            other.add(member("m" + i, i, i), Duration.ZERO);
        }
        Member self = member("a", 1, 1);
        assertThat(one.digest(self)).isEqualTo(other.digest(self));
        Known known = one.get(5);
        one.become(known, known.member.as(State.SUSPECT, known.member.number()), Duration.ZERO);
        assertThat(one.digest(self)).as("a suspect is still there").isEqualTo(other.digest(self));
        one.become(known, known.member.as(State.SILENT, known.member.number()), Duration.ZERO);
        assertThat(one.digest(self)).isNotEqualTo(other.digest(self));
    }

    @Test
    void suspicionIsShorterTheMoreConfirmItAndLongerInLargeFleets() {
        assertThat(PACE.suspicion(24, 4)).isEqualTo(PACE.shortest(24));
        assertThat(PACE.suspicion(24, 1)).isEqualTo(PACE.shortest(24).multipliedBy(3));
        assertThat(PACE.suspicion(24, 2)).isBetween(PACE.suspicion(24, 3), PACE.suspicion(24, 1));
        assertThat(PACE.shortest(1000))
                .isBetween(PACE.shortest(24).multipliedBy(2), PACE.shortest(24).multipliedBy(3));
        assertThat(PACE.shortest(3))
                .as("a pause is as long in a small fleet")
                .isEqualTo(PACE.shortest(24));
    }
}

package ochretiller.fleet.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class MemberTableTest {
    private static final Member SELF = member(1, 1);
    private static final Duration NOW = Duration.ZERO;

    private static Member member(long incarnation, long stateVersion) {
        return new Member(
                new MemberId("m" + incarnation, incarnation),
                new PeerAddress("10.0.0." + incarnation, 1),
                "z",
                "b",
                Optional.empty(),
                stateVersion,
                MemberState.ALIVE);
    }

    private static Member unresponsive(long incarnation) {
        return member(incarnation, 1).withState(MemberState.UNRESPONSIVE, 1);
    }

    @Test
    void memberThatDepartedFirstIsRemovedFirst() {
        MemberTable table = new MemberTable();
        for (int i = 2; i < 30; i++) {
            table.add(unresponsive(i), NOW);
        }
        assertThat(table.departedMembers()).hasSize(28);

        assertThat(table.removeLongestDeparted()).isTrue();

        assertThat(table.find(2)).isEmpty();
    }

    @Test
    void noMemberIsRemovedWhileAllAreLive() {
        MemberTable table = new MemberTable();
        table.add(member(2, 1), NOW);

        assertThat(table.removeLongestDeparted()).isFalse();
    }

    @Test
    void digestDoesNotDependOnInsertionOrder() {
        MemberTable ascending = new MemberTable();
        MemberTable descending = new MemberTable();
        for (int i = 2; i < 9; i++) {
            ascending.add(member(i, i), NOW);
        }
        for (int i = 8; i > 1; i--) {
            descending.add(member(i, i), NOW);
        }

        assertThat(ascending.digest(SELF)).isEqualTo(descending.digest(SELF));
    }

    @Test
    void digestIncludesSuspectsButNotUnresponsiveMembers() {
        MemberTable table = new MemberTable();
        for (int i = 2; i < 9; i++) {
            table.add(member(i, i), NOW);
        }
        long before = table.digest(SELF);
        MemberRecord record = table.find(5).orElseThrow();

        table.update(record, record.member().withState(MemberState.SUSPECT, 5), NOW);
        assertThat(table.digest(SELF)).as("a suspect is still live").isEqualTo(before);

        table.update(record, record.member().withState(MemberState.UNRESPONSIVE, 5), NOW);
        assertThat(table.digest(SELF)).isNotEqualTo(before);
    }
}

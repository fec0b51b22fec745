package ochretiller.fleet.members;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Whom a server keeps for its next start. */
class AcquaintancesTest {
    private static final Address SELF = new Address("10.0.0.1", 1);

    private static Seen seen(int number, String zone, State state) {
        Member member =
                new Member(
                        new MemberId("m" + number, number),
                        new Address("10.0.0." + number, 1),
                        zone,
                        "b",
                        null,
                        1,
                        state);
        return new Seen(member, Duration.ZERO, number == 1);
    }

    private static Duration s(int seconds) {
        return Duration.ofSeconds(seconds);
    }

    @Test
    void thoseThatAreThereAreKeptAndItselfIsNot() {
        Acquaintances all = new Acquaintances(SELF, List.of());
        all.met(
                List.of(
                        seen(1, "a", State.HERE),
                        seen(2, "a", State.HERE),
                        seen(3, "b", State.SILENT)),
                s(1));
        assertThat(all.due(s(1))).containsExactly(new Address("10.0.0.2", 1));
        assertThat(all.due(s(60))).as("nothing has changed").isNull();
    }

    @Test
    void whoIsGoneStaysBehindThoseThatAreThere() {
        Acquaintances all = new Acquaintances(SELF, List.of(new Address("10.0.0.9", 1)));
        all.met(List.of(seen(2, "a", State.HERE), seen(3, "a", State.HERE)), s(1));
        assertThat(all.due(s(1))).hasSize(3).last().isEqualTo(new Address("10.0.0.9", 1));
        all.met(List.of(seen(3, "a", State.HERE)), s(2));
        all.met(List.of(), s(3));
        assertThat(all.due(s(20))).as("all are gone, and all are still known").isNull();
    }

    @Test
    void aZoneOfManyLeavesPlacesToTheOthers() {
        Acquaintances all = new Acquaintances(SELF, List.of());
        List<Seen> view = new ArrayList<>();
        for (int i = 2; i < 100; i++) {
            view.add(seen(i, i < 90 ? "big" : "z" + i, State.HERE));
        }
        all.met(view, s(1));
        List<Address> kept = all.due(s(1));
        assertThat(kept).hasSize(Acquaintances.MOST);
        for (int i = 90; i < 100; i++) {
            assertThat(kept).contains(new Address("10.0.0." + i, 1));
        }
    }

    @Test
    void aFleetThatStartsIsNotKeptAtEachNewcomer() {
        Acquaintances all = new Acquaintances(SELF, List.of());
        List<Seen> view = new ArrayList<>();
        int kept = 0;
        for (int i = 2; i < 32; i++) {
            view.add(seen(i, "a", State.HERE));
            all.met(view, s(i));
            if (all.due(s(i)) != null) {
                kept++;
            }
        }
        assertThat(kept).isEqualTo(3);
    }
}

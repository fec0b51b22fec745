package ochretiller.fleet.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Whom a server keeps for its next start. */
class BootstrapPeersTest {
    private static final PeerAddress SELF = new PeerAddress("10.0.0.1", 1);

    private static MemberSnapshot seen(int number, String zone, MemberState state) {
        Member member =
                new Member(
                        new MemberId("m" + number, number),
                        new PeerAddress("10.0.0." + number, 1),
                        zone,
                        "b",
                        null,
                        1,
                        state);
        return new MemberSnapshot(member, Duration.ZERO, number == 1);
    }

    private static Duration s(int seconds) {
        return Duration.ofSeconds(seconds);
    }

    @Test
    void thoseThatAreThereAreKeptAndItselfIsNot() {
        BootstrapPeers all = new BootstrapPeers(SELF, List.of());
        all.observe(
                List.of(
                        seen(1, "a", MemberState.ALIVE),
                        seen(2, "a", MemberState.ALIVE),
                        seen(3, "b", MemberState.UNRESPONSIVE)),
                s(1));
        assertThat(all.takeDue(s(1))).containsExactly(new PeerAddress("10.0.0.2", 1));
        assertThat(all.takeDue(s(60))).as("nothing has changed").isNull();
    }

    @Test
    void whoIsGoneStaysBehindThoseThatAreThere() {
        BootstrapPeers all = new BootstrapPeers(SELF, List.of(new PeerAddress("10.0.0.9", 1)));
        all.observe(
                List.of(seen(2, "a", MemberState.ALIVE), seen(3, "a", MemberState.ALIVE)), s(1));
        assertThat(all.takeDue(s(1))).hasSize(3).last().isEqualTo(new PeerAddress("10.0.0.9", 1));
        all.observe(List.of(seen(3, "a", MemberState.ALIVE)), s(2));
        all.observe(List.of(), s(3));
        assertThat(all.takeDue(s(20))).as("all are gone, and all are still known").isNull();
    }

    @Test
    void aZoneOfManyLeavesPlacesToTheOthers() {
        BootstrapPeers all = new BootstrapPeers(SELF, List.of());
        List<MemberSnapshot> view = new ArrayList<>();
        for (int i = 2; i < 100; i++) {
            view.add(seen(i, i < 90 ? "big" : "z" + i, MemberState.ALIVE));
        }
        all.observe(view, s(1));
        List<PeerAddress> kept = all.takeDue(s(1));
        assertThat(kept).hasSize(BootstrapPeers.MAX_PEERS);
        for (int i = 90; i < 100; i++) {
            assertThat(kept).contains(new PeerAddress("10.0.0." + i, 1));
        }
    }

    @Test
    void aFleetThatStartsIsNotKeptAtEachNewcomer() {
        BootstrapPeers all = new BootstrapPeers(SELF, List.of());
        List<MemberSnapshot> view = new ArrayList<>();
        int kept = 0;
        for (int i = 2; i < 32; i++) {
            view.add(seen(i, "a", MemberState.ALIVE));
            all.observe(view, s(i));
            if (all.takeDue(s(i)) != null) {
                kept++;
            }
        }
        assertThat(kept).isEqualTo(3);
    }
}

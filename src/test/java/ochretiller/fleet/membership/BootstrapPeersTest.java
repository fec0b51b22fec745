package ochretiller.fleet.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class BootstrapPeersTest {
    private static final PeerAddress SELF = new PeerAddress("10.0.0.1", 1);

    private static PeerAddress address(int number) {
        return new PeerAddress("10.0.0." + number, 1);
    }

    private static MemberSnapshot snapshot(int number, String zone, MemberState state) {
        Member member =
                new Member(
                        new MemberId("m" + number, number),
                        address(number),
                        zone,
                        "b",
                        Optional.empty(),
                        1,
                        state);
        return new MemberSnapshot(member, Duration.ZERO, number == 1);
    }

    private static MemberSnapshot alive(int number, String zone) {
        return snapshot(number, zone, MemberState.ALIVE);
    }

    private static Duration seconds(int seconds) {
        return Duration.ofSeconds(seconds);
    }

    @Test
    void liveMembersExceptThisServerAreStored() {
        BootstrapPeers peers = new BootstrapPeers(SELF, List.of());

        peers.observe(
                List.of(alive(1, "a"), alive(2, "a"), snapshot(3, "b", MemberState.UNRESPONSIVE)),
                seconds(1));

        assertThat(peers.takeListToStore(seconds(1))).contains(List.of(address(2)));
        assertThat(peers.takeListToStore(seconds(60))).as("nothing has changed").isEmpty();
    }

    @Test
    void departedPeersAreStoredAfterLiveOnes() {
        BootstrapPeers peers = new BootstrapPeers(SELF, List.of(address(9)));

        peers.observe(List.of(alive(2, "a"), alive(3, "a")), seconds(1));
        assertThat(peers.takeListToStore(seconds(1)).orElseThrow())
                .hasSize(3)
                .last()
                .isEqualTo(address(9));

        peers.observe(List.of(alive(3, "a")), seconds(2));
        peers.observe(List.of(), seconds(3));
        assertThat(peers.takeListToStore(seconds(20)))
                .as("departed peers are still listed")
                .isEmpty();
    }

    @Test
    void storedListIncludesPeersOfSmallZones() {
        BootstrapPeers peers = new BootstrapPeers(SELF, List.of());
        List<MemberSnapshot> view = new ArrayList<>();
        for (int i = 2; i < 100; i++) {
            view.add(alive(i, i < 90 ? "big" : "z" + i));
        }

        peers.observe(view, seconds(1));

        List<PeerAddress> stored = peers.takeListToStore(seconds(1)).orElseThrow();
        assertThat(stored).hasSize(BootstrapPeers.MAX_PEERS);
        for (int i = 90; i < 100; i++) {
            assertThat(stored).contains(address(i));
        }
    }

    @Test
    void startingFleetDoesNotStoreAListForEachNewMember() {
        BootstrapPeers peers = new BootstrapPeers(SELF, List.of());
        List<MemberSnapshot> view = new ArrayList<>();
        int storedLists = 0;
        for (int i = 2; i < 32; i++) {
            view.add(alive(i, "a"));
            peers.observe(view, seconds(i));
            if (peers.takeListToStore(seconds(i)).isPresent()) {
                storedLists++;
            }
        }

        assertThat(storedLists).isEqualTo(3);
    }
}

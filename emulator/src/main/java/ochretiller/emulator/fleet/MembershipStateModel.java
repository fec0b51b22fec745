package ochretiller.emulator.fleet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import net.openhft.hashing.LongHashFunction;
import ochretiller.fleet.membership.Member;
import ochretiller.fleet.membership.MemberId;
import ochretiller.fleet.membership.MemberSnapshot;
import ochretiller.fleet.membership.MemberState;
import ochretiller.fleet.membership.MembershipChange;
import ochretiller.fleet.membership.MembershipProtocol;
import ochretiller.fleet.membership.OutboundPacket;
import ochretiller.fleet.membership.PeerAddress;
import ochretiller.fleet.membership.ProtocolTiming;

/**
 * Delivery, loss, passing time and crash in a fleet of a few, round the decisions themselves. In
 * each state nobody knows a member by a number that the member never had, and nobody is said to
 * have left who did not; from each state, with the faults gone, all views become equal and right
 * within a bound.
 */
public final class MembershipStateModel implements StateModel {
    /**
     * One look at the clock a probe, and suspicion as short as it can be: verdicts come within the
     * depth.
     */
    private static final ProtocolTiming PACE =
            new ProtocolTiming(Duration.ofMillis(100), Duration.ofHours(1), 100, 1, 0.72);

    /**
     * Packets on one way from one to another; one more pushes the oldest out, which is a loss like
     * any other.
     */
    private static final int ON_A_WAY = 2;

    /** Looks at the clock within which a fleet without faults has settled. */
    private static final int SETTLES = 120;

    private static final int CALM = 40;

    private final int members;
    private final int crashes;
    private final boolean planted;
    private final MembershipProtocol[] all;
    private final Duration[] clocks;
    private final boolean[] dead;
    private final boolean[] left;
    private final List<List<OutboundPacket>> ways = new ArrayList<>();
    private int deadCount;
    private String broken;

    /**
     * @param planted whether a fault is planted that has to be found
     */
    public MembershipStateModel(int members, int crashes, boolean planted) {
        this.members = members;
        this.crashes = crashes;
        this.planted = planted;
        all = new MembershipProtocol[members];
        clocks = new Duration[members];
        dead = new boolean[members];
        left = new boolean[members];
        for (int i = 0; i < members; i++) {
            List<PeerAddress> seeds = i == 0 ? List.of() : List.of(address(0));
            Member self =
                    new Member(
                            new MemberId("m" + i, i + 1),
                            address(i),
                            "z",
                            "b",
                            Optional.empty(),
                            1,
                            MemberState.JOINING);
            clocks[i] = Duration.ZERO;
            all[i] = new MembershipProtocol(self, seeds, PACE, new ConstantRandom(), Duration.ZERO);
        }
        for (int i = 0; i < members * members; i++) {
            ways.add(new ArrayList<>());
        }
        for (int i = 0; i < CALM; i++) {
            round();
        }
    }

    private PeerAddress address(int i) {
        return new PeerAddress("m", i + 1);
    }

    private void take(int from) {
        for (OutboundPacket send : all[from].takeOutbound()) {
            List<OutboundPacket> way = ways.get(from * members + send.destination().port() - 1);
            if (way.size() == ON_A_WAY) {
                way.remove(0);
            }
            way.add(send);
        }
        for (MembershipChange change : all[from].takeChanges()) {
            int of = (int) change.member().incarnation() - 1;
            if (change instanceof MembershipChange.StateChanged
                    && change.member().state() == MemberState.LEFT
                    && !left[of]) {
                broken = "said to have left: " + change;
            }
        }
    }

    private void time(int who) {
        clocks[who] = all[who].nextTick();
        all[who].tick(clocks[who]);
        take(who);
    }

    private void deliver(int way, int which) {
        int to = way % members;
        OutboundPacket send = ways.get(way).remove(which);
        if (dead[to]) {
            return;
        }
        // A planted fault, to see that it is found: a member that never answers what is said of it.
        if (planted && to == members - 1 && send.packet().sender().incarnation() == 1) {
            return;
        }
        all[to].receive(send.packet(), clocks[to]);
        take(to);
    }

    /** One calm look at the clock by each, and all packets delivered in order. */
    private void round() {
        for (int i = 0; i < members; i++) {
            if (!dead[i]) {
                time(i);
            }
        }
        for (boolean more = true; more; ) {
            more = false;
            for (int way = 0; way < ways.size(); way++) {
                while (!ways.get(way).isEmpty()) {
                    deliver(way, 0);
                    more = true;
                }
            }
        }
    }

    /**
     * Numbered from 0: first the clocks, then crashes, then deliveries and losses of what is on its
     * way.
     */
    @Override
    public boolean act(int action) {
        int rest = action;
        if (rest < members) {
            if (dead[rest]) {
                return false;
            }
            time(rest);
            return true;
        }
        rest -= members;
        if (rest < members) {
            if (dead[rest] || deadCount == crashes) {
                return false;
            }
            dead[rest] = true;
            deadCount++;
            return true;
        }
        rest -= members;
        for (int way = 0; way < ways.size(); way++) {
            int size = ways.get(way).size();
            if (rest < 2 * size) {
                if (rest % 2 == 0) {
                    deliver(way, rest / 2);
                } else {
                    ways.get(way).remove(rest / 2);
                }
                return true;
            }
            rest -= 2 * size;
        }
        return false;
    }

    @Override
    public int actions() {
        int count = 2 * members;
        for (List<OutboundPacket> way : ways) {
            count += 2 * way.size();
        }
        return count;
    }

    @Override
    public long fingerprint() {
        StringBuilder text = new StringBuilder(1024);
        for (int i = 0; i < members; i++) {
            text.append(dead[i] ? "dead" : all[i].describeState())
                    .append(all[i].nextTick().minus(clocks[i]))
                    .append('\n');
        }
        for (List<OutboundPacket> way : ways) {
            text.append(way.stream().map(send -> told(send)).toList());
        }
        return LongHashFunction.xx3().hashChars(text);
    }

    private String told(OutboundPacket send) {
        return send.packet().toString();
    }

    @Override
    public String broken() {
        for (int i = 0; i < members && broken == null; i++) {
            if (dead[i]) {
                continue;
            }
            for (MemberSnapshot seen : all[i].snapshot()) {
                int of = (int) seen.member().incarnation() - 1;
                if (seen.member().stateVersion() > all[of].self().stateVersion()) {
                    broken = "a number that " + of + " never had: " + seen;
                }
            }
        }
        return broken;
    }

    private boolean right() {
        long digest = 0;
        boolean first = true;
        for (int i = 0; i < members; i++) {
            if (dead[i]) {
                continue;
            }
            if (all[i].liveCount() != members - deadCount - 1
                    || all[i].self().state() != MemberState.ALIVE) {
                return false;
            }
            for (MemberSnapshot seen : all[i].snapshot()) {
                if (dead[(int) seen.member().incarnation() - 1] && seen.member().state().isLive()) {
                    return false;
                }
            }
            if (!first && digest != all[i].digest()) {
                return false;
            }
            digest = all[i].digest();
            first = false;
        }
        return true;
    }

    /** Looks at the clock until all is right without faults, or -1. */
    @Override
    public int settles() {
        for (int i = 0; i <= SETTLES; i++) {
            if (right()) {
                return i;
            }
            round();
        }
        return -1;
    }
}

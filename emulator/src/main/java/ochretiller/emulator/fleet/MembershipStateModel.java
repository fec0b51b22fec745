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
 * Models delivery, loss, passing time and crashes in a small fleet that runs the membership
 * protocol. Rules: in each state no view contains a state version that the member never had, and no
 * member is reported as having left that did not leave. From each state, without further faults,
 * all views become equal and correct within a bound.
 */
public final class MembershipStateModel implements StateModel {
    /** One tick per probe and the shortest suspicion, so that verdicts occur within the depth. */
    private static final ProtocolTiming TIMING =
            new ProtocolTiming(Duration.ofMillis(100), Duration.ofHours(1), 100, 1, 0.72);

    /** Maximum packets in flight from one member to another; a further one drops the oldest. */
    private static final int MAX_IN_FLIGHT_PER_LINK = 2;

    /** Rounds within which a fleet without faults must settle. */
    private static final int MAX_SETTLE_ROUNDS = 120;

    private static final int STARTUP_ROUNDS = 40;

    private final int memberCount;
    private final int maxCrashes;
    private final boolean hasPlantedFault;
    private final MembershipProtocol[] protocols;
    private final Duration[] clocks;
    private final boolean[] isCrashed;
    private final boolean[] hasLeft;
    private final List<List<OutboundPacket>> links = new ArrayList<>();
    private int crashCount;
    private String violation;

    /**
     * @param maxCrashes maximum number of members that crash
     * @param hasPlantedFault whether the last member ignores the first one's packets: a fault that
     *     the exploration must find
     */
    public MembershipStateModel(int memberCount, int maxCrashes, boolean hasPlantedFault) {
        this.memberCount = memberCount;
        this.maxCrashes = maxCrashes;
        this.hasPlantedFault = hasPlantedFault;
        protocols = new MembershipProtocol[memberCount];
        clocks = new Duration[memberCount];
        isCrashed = new boolean[memberCount];
        hasLeft = new boolean[memberCount];
        for (int i = 0; i < memberCount; i++) {
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
            protocols[i] =
                    new MembershipProtocol(
                            self, seeds, TIMING, new ConstantRandom(), Duration.ZERO);
        }
        for (int i = 0; i < memberCount * memberCount; i++) {
            links.add(new ArrayList<>());
        }
        for (int i = 0; i < STARTUP_ROUNDS; i++) {
            runFaultFreeRound();
        }
    }

    private PeerAddress address(int i) {
        return new PeerAddress("m", i + 1);
    }

    private void collectOutbound(int from) {
        for (OutboundPacket outbound : protocols[from].takeOutbound()) {
            List<OutboundPacket> link =
                    links.get(from * memberCount + outbound.destination().port() - 1);
            if (link.size() == MAX_IN_FLIGHT_PER_LINK) {
                link.remove(0);
            }
            link.add(outbound);
        }
        for (MembershipChange change : protocols[from].takeChanges()) {
            int subject = (int) change.member().incarnation() - 1;
            if (change instanceof MembershipChange.StateChanged
                    && change.member().state() == MemberState.LEFT
                    && !hasLeft[subject]) {
                violation = "said to have left: " + change;
            }
        }
    }

    private void advanceClock(int member) {
        clocks[member] = protocols[member].nextTick();
        protocols[member].tick(clocks[member]);
        collectOutbound(member);
    }

    private void deliver(int link, int index) {
        int to = link % memberCount;
        OutboundPacket outbound = links.get(link).remove(index);
        if (isCrashed[to]) {
            return;
        }
        // The planted fault: the last member never refutes what the first one reports about it.
        if (hasPlantedFault
                && to == memberCount - 1
                && outbound.packet().sender().incarnation() == 1) {
            return;
        }
        protocols[to].receive(outbound.packet(), clocks[to]);
        collectOutbound(to);
    }

    /** Ticks each member's clock once and then delivers all packets in order. */
    private void runFaultFreeRound() {
        for (int i = 0; i < memberCount; i++) {
            if (!isCrashed[i]) {
                advanceClock(i);
            }
        }
        for (boolean hasMore = true; hasMore; ) {
            hasMore = false;
            for (int link = 0; link < links.size(); link++) {
                while (!links.get(link).isEmpty()) {
                    deliver(link, 0);
                    hasMore = true;
                }
            }
        }
    }

    /** Numbered from 0: first the clock ticks, then crashes, then deliveries and losses. */
    @Override
    public boolean perform(int action) {
        int offset = action;
        if (offset < memberCount) {
            if (isCrashed[offset]) {
                return false;
            }
            advanceClock(offset);
            return true;
        }
        offset -= memberCount;
        if (offset < memberCount) {
            if (isCrashed[offset] || crashCount == maxCrashes) {
                return false;
            }
            isCrashed[offset] = true;
            crashCount++;
            return true;
        }
        offset -= memberCount;
        for (int link = 0; link < links.size(); link++) {
            int size = links.get(link).size();
            if (offset < 2 * size) {
                if (offset % 2 == 0) {
                    deliver(link, offset / 2);
                } else {
                    links.get(link).remove(offset / 2);
                }
                return true;
            }
            offset -= 2 * size;
        }
        return false;
    }

    @Override
    public int actionCount() {
        int count = 2 * memberCount;
        for (List<OutboundPacket> link : links) {
            count += 2 * link.size();
        }
        return count;
    }

    @Override
    public long fingerprint() {
        StringBuilder text = new StringBuilder(1024);
        for (int i = 0; i < memberCount; i++) {
            text.append(isCrashed[i] ? "dead" : protocols[i].describeState())
                    .append(protocols[i].nextTick().minus(clocks[i]))
                    .append('\n');
        }
        for (List<OutboundPacket> link : links) {
            text.append(link.stream().map(outbound -> describe(outbound)).toList());
        }
        return LongHashFunction.xx3().hashChars(text);
    }

    private String describe(OutboundPacket outbound) {
        return outbound.packet().toString();
    }

    @Override
    public String violation() {
        for (int i = 0; i < memberCount && violation == null; i++) {
            if (isCrashed[i]) {
                continue;
            }
            for (MemberSnapshot seen : protocols[i].snapshot()) {
                int subject = (int) seen.member().incarnation() - 1;
                if (seen.member().stateVersion() > protocols[subject].self().stateVersion()) {
                    violation = "a number that " + subject + " never had: " + seen;
                }
            }
        }
        return violation;
    }

    private boolean hasSettled() {
        long digest = 0;
        boolean isFirst = true;
        for (int i = 0; i < memberCount; i++) {
            if (isCrashed[i]) {
                continue;
            }
            if (protocols[i].liveCount() != memberCount - crashCount - 1
                    || protocols[i].self().state() != MemberState.ALIVE) {
                return false;
            }
            for (MemberSnapshot seen : protocols[i].snapshot()) {
                if (isCrashed[(int) seen.member().incarnation() - 1]
                        && seen.member().state().isLive()) {
                    return false;
                }
            }
            if (!isFirst && digest != protocols[i].digest()) {
                return false;
            }
            digest = protocols[i].digest();
            isFirst = false;
        }
        return true;
    }

    /** Returns the number of rounds without faults until all views are equal and correct, or -1. */
    @Override
    public int roundsToSettle() {
        for (int i = 0; i <= MAX_SETTLE_ROUNDS; i++) {
            if (hasSettled()) {
                return i;
            }
            runFaultFreeRound();
        }
        return -1;
    }
}

package ochretiller.fleet.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * News that goes with other messages, each a bounded number of times, what was carried least first.
 */
final class GossipBuffer {
    private static final class Rumour {
        final long start;
        boolean full;
        int carried;

        Rumour(long start) {
            this.start = start;
        }
    }

    private final Map<Long, Rumour> all = new LinkedHashMap<>();

    /** There is news of this member; what it is, is read from the table when it goes out. */
    void add(long start, boolean full) {
        Rumour known = all.remove(start);
        Rumour fresh = new Rumour(start);
        fresh.full = full || known != null && known.full;
        all.put(start, fresh);
    }

    int size() {
        return all.size();
    }

    /**
     * News for one message.
     *
     * @param most how often each is carried
     * @param agree whether the receiver has just shown the same digest: it knows who is there, and
     *     needs to hear of suspicion only
     * @param first an entry that goes out in any case, or null
     */
    MembershipMessage.Gossip take(
            MemberTable table, Member self, int most, boolean agree, MembershipUpdate first) {
        List<MembershipUpdate> entries = new ArrayList<>();
        List<Member> full = new ArrayList<>();
        if (first != null) {
            entries.add(first);
        }
        if (all.isEmpty()) {
            return entries.isEmpty()
                    ? MembershipMessage.Gossip.NONE
                    : new MembershipMessage.Gossip(entries, full);
        }
        List<Rumour> order = new ArrayList<>(all.values());
        if (order.size() > MembershipMessage.MAX_GOSSIP_UPDATES) {
            order.sort(Comparator.comparingInt(each -> each.carried));
        }
        for (Rumour each : order) {
            MemberRecord known = table.get(each.start);
            Member member =
                    each.start == self.incarnation() ? self : known == null ? null : known.member;
            if (member == null || known != null && known.unsaid) {
                all.remove(each.start);
                continue;
            }
            if (agree && member.state() != MemberState.SUSPECT) {
                if (++each.carried >= most) {
                    all.remove(each.start);
                }
                continue;
            }
            if (each.full) {
                if (full.size() == MembershipMessage.MAX_GOSSIP_MEMBERS) {
                    continue;
                }
                full.add(member);
            } else {
                if (entries.size() == MembershipMessage.MAX_GOSSIP_UPDATES) {
                    continue;
                }
                entries.add(entry(member, known));
            }
            if (++each.carried >= most) {
                all.remove(each.start);
            }
        }
        return new MembershipMessage.Gossip(entries, full);
    }

    @Override
    public String toString() {
        StringBuilder text = new StringBuilder();
        all.values()
                .forEach(
                        each ->
                                text.append('~')
                                        .append(each.start)
                                        .append(each.full)
                                        .append(each.carried));
        return text.toString();
    }

    static MembershipUpdate entry(Member member, MemberRecord known) {
        long by = 0;
        if (known != null && member.state() == MemberState.SUSPECT) {
            for (Iterator<Long> i = known.accusers.iterator(); i.hasNext(); ) {
                by = i.next();
            }
        }
        return member.toUpdate(by);
    }
}

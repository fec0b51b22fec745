package ochretiller.fleet.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import ochretiller.fleet.membership.MembershipMessage.Gossip;

/**
 * Members of which there is news to spread. Updates ride on pings and acknowledgements (SWIM,
 * section 4.1), each a bounded number of times, those that were sent least often first. Only the
 * member is noted; what is said of it is read from the table when a message goes out, so it is
 * never stale.
 */
final class GossipBuffer {
    private final Map<Long, Item> items = new LinkedHashMap<>();

    /** One member of which there is news. */
    private static final class Item {
        final long incarnation;
        final boolean sendWhole;
        int timesSent;

        Item(long incarnation, boolean sendWhole) {
            this.incarnation = incarnation;
            this.sendWhole = sendWhole;
        }
    }

    /**
     * Notes that there is news of a member; what was sent of it before counts no more.
     *
     * @param sendWhole whether recipients may not know the member and need its whole record; stays
     *     until it has been sent often enough
     */
    void add(long incarnation, boolean sendWhole) {
        Item previous = items.remove(incarnation);
        boolean whole = sendWhole || previous != null && previous.sendWhole;
        items.put(incarnation, new Item(incarnation, whole));
    }

    int size() {
        return items.size();
    }

    /**
     * Takes the gossip for one message and counts it as sent.
     *
     * @param table where members are looked up
     * @param self this server's own record
     * @param first an update that goes out in any case
     */
    Gossip take(
            MemberTable table, Member self, GossipTerms terms, Optional<MembershipUpdate> first) {
        if (items.isEmpty() && first.isEmpty()) {
            return Gossip.NONE;
        }
        List<MembershipUpdate> updates = new ArrayList<>();
        List<Member> members = new ArrayList<>();
        first.ifPresent(updates::add);
        for (Item item : leastSentFirst()) {
            Optional<MemberRecord> known = table.find(item.incarnation);
            boolean isSelf = item.incarnation == self.incarnation();
            boolean isSecret = known.map(MemberRecord::isLocalOnly).orElse(false);
            if (isSecret || !isSelf && known.isEmpty()) {
                items.remove(item.incarnation);
                continue;
            }
            Member member = isSelf ? self : known.get().member();
            boolean isNews = !terms.digestsAgree() || member.state() == MemberState.SUSPECT;
            if (isNews && item.sendWhole) {
                if (members.size() == MembershipMessage.MAX_GOSSIP_MEMBERS) {
                    continue;
                }
                members.add(member);
            } else if (isNews) {
                if (updates.size() == MembershipMessage.MAX_GOSSIP_UPDATES) {
                    continue;
                }
                updates.add(known.map(MemberRecord::toUpdate).orElseGet(() -> member.toUpdate(0)));
            }
            countAsSent(item, terms);
        }
        return new Gossip(updates, members);
    }

    /** The items in the order in which they were added, or by use if not all fit. */
    private List<Item> leastSentFirst() {
        List<Item> order = new ArrayList<>(items.values());
        if (order.size() > MembershipMessage.MAX_GOSSIP_UPDATES) {
            order.sort(Comparator.comparingInt(item -> item.timesSent));
        }
        return order;
    }

    private void countAsSent(Item item, GossipTerms terms) {
        item.timesSent++;
        if (item.timesSent >= terms.transmitLimit()) {
            items.remove(item.incarnation);
        }
    }

    /** Its whole state as text; equal texts go on alike. */
    @Override
    public String toString() {
        StringBuilder text = new StringBuilder();
        for (Item item : items.values()) {
            text.append('~').append(item.incarnation).append(item.sendWhole).append(item.timesSent);
        }
        return text.toString();
    }
}

package ochretiller.fleet.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import ochretiller.fleet.membership.MembershipMessage.Gossip;

/**
 * Members with updates to disseminate. Updates are piggybacked on pings and acknowledgements (SWIM,
 * section 4.1), each a bounded number of times, the least often sent first. The buffer holds
 * incarnations only; updates are read from the table when a message is sent, so none is stale.
 */
final class GossipBuffer {
    private final Map<Long, Item> items = new LinkedHashMap<>();

    /** A member with an update to disseminate. */
    private static final class Item {
        final long incarnation;
        final boolean sendFullRecord;
        int timesSent;

        Item(long incarnation, boolean sendFullRecord) {
            this.incarnation = incarnation;
            this.sendFullRecord = sendFullRecord;
        }
    }

    /**
     * Adds an update of a member and resets the count of its transmissions.
     *
     * @param sendFullRecord whether recipients may not know the member and need its full record;
     *     remains in force until the record has been sent often enough
     */
    void add(long incarnation, boolean sendFullRecord) {
        Item previous = items.remove(incarnation);
        boolean isFull = sendFullRecord || previous != null && previous.sendFullRecord;
        items.put(incarnation, new Item(incarnation, isFull));
    }

    int size() {
        return items.size();
    }

    /**
     * Returns the gossip for one message and counts it as sent.
     *
     * @param table the members of the view
     * @param self this server's own record
     * @param first an update to include in any case
     */
    Gossip take(
            MemberTable table,
            Member self,
            GossipOptions options,
            Optional<MembershipUpdate> first) {
        if (items.isEmpty() && first.isEmpty()) {
            return Gossip.NONE;
        }
        List<MembershipUpdate> updates = new ArrayList<>();
        List<Member> members = new ArrayList<>();
        first.ifPresent(updates::add);
        for (Item item : leastSentFirst()) {
            Optional<MemberRecord> found = table.find(item.incarnation);
            boolean isSelf = item.incarnation == self.incarnation();
            boolean isLocalOnly = found.map(MemberRecord::isLocalOnly).orElse(false);
            if (isLocalOnly || !isSelf && found.isEmpty()) {
                items.remove(item.incarnation);
                continue;
            }
            Member member = isSelf ? self : found.get().member();
            boolean isNewToRecipient =
                    !options.digestsAgree() || member.state() == MemberState.SUSPECT;
            if (isNewToRecipient && item.sendFullRecord) {
                if (members.size() == MembershipMessage.MAX_GOSSIP_MEMBERS) {
                    continue;
                }
                members.add(member);
            } else if (isNewToRecipient) {
                if (updates.size() == MembershipMessage.MAX_GOSSIP_UPDATES) {
                    continue;
                }
                updates.add(found.map(MemberRecord::toUpdate).orElseGet(() -> member.toUpdate(0)));
            }
            countAsSent(item, options);
        }
        return new Gossip(updates, members);
    }

    /** The items in insertion order or, if not all fit one message, the least often sent first. */
    private List<Item> leastSentFirst() {
        List<Item> order = new ArrayList<>(items.values());
        if (order.size() > MembershipMessage.MAX_GOSSIP_UPDATES) {
            order.sort(Comparator.comparingInt(item -> item.timesSent));
        }
        return order;
    }

    private void countAsSent(Item item, GossipOptions options) {
        item.timesSent++;
        if (item.timesSent >= options.transmitLimit()) {
            items.remove(item.incarnation);
        }
    }

    /** The state as text; buffers with equal texts behave alike. */
    @Override
    public String toString() {
        StringBuilder text = new StringBuilder();
        for (Item item : items.values()) {
            text.append('~')
                    .append(item.incarnation)
                    .append(item.sendFullRecord)
                    .append(item.timesSent);
        }
        return text.toString();
    }
}

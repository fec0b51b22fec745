package ochretiller.fleet.members;

import java.util.List;

/**
 * What servers say to one another; the sender's own record goes with each, in the {@link Packet}.
 */
public sealed interface Message {
    /**
     * Most of {@code entries} and of {@code full} in one message, so that it fits a datagram of
     * 1,400 bytes.
     */
    int ENTRIES = 48;

    int FULL = 4;

    /** Most in a message that brings nothing else. */
    int PAGE = 60;

    int FULL_PAGE = 10;

    /** Parts into which a view is divided to find what differs. */
    int BUCKETS = 64;

    /**
     * Are you there?
     *
     * @param target the start that is asked for; 0 for whoever is at the address
     * @param news what is said of members
     * @param full members that the receiver may not know
     * @param digest of the sender's whole view
     */
    record Ping(long nonce, long target, News news, long digest) implements Message {}

    /** Here I am: the answer to a {@link Ping}, by whoever got it. */
    record Ack(long nonce, News news, long digest) implements Message {}

    /** Ask that one for me. */
    record Ask(long nonce, long target, Address address) implements Message {}

    /** That one has answered me. */
    record Reached(long nonce, Entry target) implements Message {}

    /**
     * Digests of the parts of a view; the answer is {@link States} of those that differ.
     *
     * @param back whether the receiver is to ask in the same way
     */
    record Sync(List<Long> digests, boolean back) implements Message {}

    /** A page of entries. */
    record States(List<Entry> entries) implements Message {}

    /** Tell me all of these starts. */
    record Want(List<Long> starts) implements Message {}

    /** Members in full. */
    record Full(List<Member> members) implements Message {}

    /** What goes with a message anyway. */
    record News(List<Entry> entries, List<Member> full) {
        static final News NONE = new News(List.of(), List.of());
    }
}

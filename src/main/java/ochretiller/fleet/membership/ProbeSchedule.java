package ochretiller.fleet.membership;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * The order in which members are probed: round-robin over a list that is shuffled for each round,
 * so that the time until a member is probed is bounded (SWIM, section 4.3).
 */
final class ProbeSchedule {
    private final RandomGenerator random;
    private final List<Long> round = new ArrayList<>();
    private int position;

    ProbeSchedule(RandomGenerator random) {
        this.random = random;
    }

    /** Starts a round over the live members of the table if the current one is complete. */
    void startRoundIfOver(MemberTable table) {
        if (position < round.size()) {
            return;
        }
        round.clear();
        for (MemberRecord record : table.all()) {
            if (record.isLive()) {
                round.add(record.incarnation());
            }
        }
        for (int i = round.size() - 1; i > 0; i--) {
            Collections.swap(round, i, random.nextInt(i + 1));
        }
        position = 0;
    }

    boolean hasNext() {
        return position < round.size();
    }

    long next() {
        return round.get(position++);
    }

    /** Inserts a new member at a random position in the rest of the round. */
    void insertAtRandom(long incarnation) {
        int index = 0;
        if (!round.isEmpty()) {
            int probed = Math.min(position, round.size());
            int offset = random.nextInt(round.size() - probed + 1);
            index = Math.min(round.size(), position + offset);
        }
        round.add(index, incarnation);
    }

    /** Inserts a member that has returned, to be probed next. */
    void insertNext(long incarnation) {
        round.add(Math.min(round.size(), position), incarnation);
    }

    /** Whether the round has no members, so that {@link #randomMember} must not be called. */
    boolean isEmpty() {
        return round.isEmpty();
    }

    /** A random member of the round, whether probed already or not; it may no longer be live. */
    long randomMember() {
        return round.get(random.nextInt(round.size()));
    }

    /** The state as text. */
    @Override
    public String toString() {
        return position + round.toString();
    }
}

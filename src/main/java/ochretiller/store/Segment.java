package ochretiller.store;

import java.util.ArrayList;
import java.util.List;

/** One file of records, and how much of it is still of use. */
final class Segment {
    final long number;

    /** When it was begun, store's time in milliseconds. */
    final long begunAt;

    long size = Format.HEADER;
    long dead;
    int records;

    /** When the last of its records is past its time. */
    long lastExpires = Long.MIN_VALUE;

    /** Its last record says that it was ended in order. */
    boolean sealed;

    /** It says of the one before it that it has no seal, and has to stay as long as that one. */
    boolean afterFailure;

    /**
     * Part of it cannot be read: it is kept until all that may have been in it is past its time.
     */
    boolean damaged;

    private final List<Index.Slot> slots = new ArrayList<>();
    private int deadSlots;

    Segment(long number, long begunAt) {
        this.number = number;
        this.begunAt = begunAt;
    }

    String file() {
        return Format.segment(number);
    }

    void add(Index.Slot slot) {
        slots.add(slot);
        lasts(slot.expires);
    }

    void lasts(long until) {
        lastExpires = Math.max(lastExpires, until);
    }

    /** A newer record has taken the place of this one. */
    void dies(Index.Slot slot) {
        slot.dead = true;
        dead += slot.size;
        // Guards against a list that grows with what is dead: half of it at most is.
        if (++deadSlots > 64 && deadSlots > slots.size() / 2) {
            slots.removeIf(each -> each.dead);
            deadSlots = 0;
        }
    }

    /** What of it is not dead. */
    List<Index.Slot> live() {
        return slots.stream().filter(slot -> !slot.dead).toList();
    }

    /** All of it is past its time: the file can go. */
    boolean over(long now) {
        return lastExpires <= now;
    }

    double deadShare() {
        return size <= Format.HEADER ? 0 : dead / (double) (size - Format.HEADER);
    }
}

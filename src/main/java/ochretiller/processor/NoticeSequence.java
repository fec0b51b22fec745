package ochretiller.processor;

import ochretiller.text.BadInputException;

/**
 * The numbers of the processor's notices, which count up from 1. Tells new notices from repeated
 * ones and finds gaps. Belongs to the event loop.
 */
final class NoticeSequence {
    private long last;
    private boolean hasGap;

    /** The number of the last notice; 0 before the first. */
    long last() {
        return last;
    }

    /**
     * Takes the number of a notice. A number that was left out can be asked for again by a new
     * connection; where the new connection leaves it out, too, the notice is lost for good.
     *
     * @param number the number
     * @param isCaughtUp whether the connection has already repeated the notices that were missed
     * @return whether the notice is new; false for one that was seen before
     * @throws BadInputException where a number was left out and a new connection may still get it
     */
    boolean accept(long number, boolean isCaughtUp) {
        if (number <= last) {
            return false;
        }
        if (number > last + 1) {
            if (isCaughtUp) {
                throw new BadInputException("notice " + number + " behind " + last);
            }
            hasGap = true;
        }
        last = number;
        return true;
    }

    /** Whether notices were lost since the last call. */
    boolean takeGap() {
        boolean had = hasGap;
        hasGap = false;
        return had;
    }
}

package ochretiller.processor;

import ochretiller.text.BadInputException;

/**
 * Tracks the sequence numbers of the processor's notices, which start at 1. Distinguishes new
 * notices from repeated ones and detects gaps. Confined to the event loop.
 */
final class NoticeSequence {
    private long lastNumber;
    private boolean hasGap;

    /** Returns the number of the last notice; 0 before the first. */
    long lastNumber() {
        return lastNumber;
    }

    /**
     * Processes the number of a received notice. A new connection requests skipped numbers again;
     * if the processor skips them there too, those notices are lost permanently.
     *
     * @param number the number of the notice
     * @param isCaughtUp whether the connection has already repeated all missed notices
     * @return whether the notice is new; false if it was received before
     * @throws BadInputException if numbers were skipped that a new connection may still receive
     */
    boolean accept(long number, boolean isCaughtUp) {
        if (number <= lastNumber) {
            return false;
        }
        if (number > lastNumber + 1) {
            if (isCaughtUp) {
                throw new BadInputException(
                        "received notice " + number + " directly after notice " + lastNumber);
            }
            hasGap = true;
        }
        lastNumber = number;
        return true;
    }

    /** Returns whether notices were lost since the last call. */
    boolean getAndClearGap() {
        boolean hadGap = hasGap;
        hasGap = false;
        return hadGap;
    }
}

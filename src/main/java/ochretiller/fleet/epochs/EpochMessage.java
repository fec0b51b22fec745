package ochretiller.fleet.epochs;

import java.util.Map;

/**
 * What voters say to one another about the epoch {@code number}, and what all are told once it is
 * agreed on.
 */
public sealed interface EpochMessage {
    /** Will you listen to this attempt? */
    record Prepare(long number, Ballot ballot) implements EpochMessage {}

    /** To this one and no earlier; {@code accepted} is what was accepted before, or null. */
    record Promise(long number, Ballot ballot, Ballot acceptedAt, Layout accepted)
            implements EpochMessage {}

    /** Take this. */
    record Accept(long number, Ballot ballot, Layout layout) implements EpochMessage {}

    record Accepted(long number, Ballot ballot) implements EpochMessage {}

    /** A later attempt was promised. */
    record Refused(long number, Ballot ballot, Ballot promised) implements EpochMessage {}

    /** This is agreed on. */
    record Agreed(Layout layout) implements EpochMessage {}

    /** A voter that lost its disk asks what it may have promised. */
    record WhatIsOpen(long nonce) implements EpochMessage {}

    /** I am without a disk myself, under this drawn number, and know of nothing. */
    record Blank(long nonce, long instance) implements EpochMessage {}

    /**
     * Each voter has said at one time that it has nothing: nothing can have been promised. By each
     * one's drawn number.
     */
    record Fresh(Map<String, Long> instances) implements EpochMessage {}

    /**
     * The highest number that this voter knows of, agreed on or attempted, and the layout in force.
     */
    record Open(long nonce, long highest, Layout layout) implements EpochMessage {}

    /**
     * A keeper's word to the voters on how far it is: ranges of this epoch that it does not have
     * whole.
     */
    record Standing(long epoch, int behind) implements EpochMessage {}
}

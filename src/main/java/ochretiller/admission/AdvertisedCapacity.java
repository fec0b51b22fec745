package ochretiller.admission;

import java.util.OptionalDouble;
import ochretiller.model.CapacityAdvertisement;

/**
 * How much of its capacity the server advertises to its clients with each answer: it opens slowly
 * while little waits and closes quickly while much does, by a factor each way.
 */
final class AdvertisedCapacity {
    /** Factor by which the openness grows each tick. */
    private static final double OPENING_FACTOR = 1.04;

    /** Factor by which the openness shrinks each tick; it halves in 0.7 seconds. */
    private static final double CLOSING_FACTOR = 0.9;

    /** Least openness, so that some clients still come and find out when there is room again. */
    private static final double MIN_OPENNESS = 0.02;

    /** Invocations for each core that all clients together may have here at full openness. */
    private static final double WINDOW_PER_CORE = 6;

    private final CapacityAdvertisement meaning;
    private final double windowPerClient;
    private double openness = 1;
    private double published = 1;

    /**
     * Creates a fully open advertisement.
     *
     * @param meaning what clients make of the value
     * @param clients number of clients that share the window
     * @param cores cores of the server
     */
    AdvertisedCapacity(CapacityAdvertisement meaning, int clients, int cores) {
        this.meaning = meaning;
        this.windowPerClient = WINDOW_PER_CORE * cores / Math.max(1, clients);
    }

    /** Adapts the openness by one tick. Returns the value to publish, if it has changed. */
    OptionalDouble adapt(boolean isOverloaded) {
        double factor = isOverloaded ? CLOSING_FACTOR : OPENING_FACTOR;
        return open(Math.max(MIN_OPENNESS, Math.min(1, openness * factor)));
    }

    /** Closes it wholly, for a server that leaves. Returns the value to publish. */
    OptionalDouble close() {
        return open(0);
    }

    private OptionalDouble open(double next) {
        openness = next;
        if (meaning == CapacityAdvertisement.NONE || openness == published) {
            return OptionalDouble.empty();
        }
        published = openness;
        return OptionalDouble.of(
                switch (meaning) {
                    case PRIORITY_THRESHOLD -> 1 - openness;
                    case CLIENT_WINDOW -> openness * windowPerClient;
                    default -> openness;
                });
    }
}

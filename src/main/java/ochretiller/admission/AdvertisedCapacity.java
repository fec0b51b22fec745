package ochretiller.admission;

import java.util.OptionalDouble;
import ochretiller.model.CapacityAdvertisement;

/**
 * The fraction of its capacity that the server advertises to clients with each answer. Each tick it
 * grows by a small factor, or shrinks by a larger one while the server is overloaded.
 */
final class AdvertisedCapacity {
    /** Factor by which the fraction grows per tick. */
    private static final double GROWTH_FACTOR = 1.04;

    /** Factor by which the fraction shrinks per tick; it halves in 0.7 seconds. */
    private static final double SHRINK_FACTOR = 0.9;

    /** Smallest fraction under load, so that some clients still notice when load falls. */
    private static final double MIN_FRACTION = 0.02;

    /** Outstanding invocations per core allowed to all clients together at full capacity. */
    private static final double WINDOW_PER_CORE = 6;

    private final CapacityAdvertisement interpretation;
    private final double windowPerClient;
    private double fraction = 1;
    private double published = 1;

    /**
     * Creates an advertisement of full capacity.
     *
     * @param interpretation how clients interpret the value
     * @param clients number of clients that share the window
     * @param cores cores of the server
     */
    AdvertisedCapacity(CapacityAdvertisement interpretation, int clients, int cores) {
        this.interpretation = interpretation;
        this.windowPerClient = WINDOW_PER_CORE * cores / Math.max(1, clients);
    }

    /** Adapts the fraction once per tick. Returns the value to publish, if it has changed. */
    OptionalDouble adapt(boolean isOverloaded) {
        double factor = isOverloaded ? SHRINK_FACTOR : GROWTH_FACTOR;
        return update(Math.max(MIN_FRACTION, Math.min(1, fraction * factor)));
    }

    /** Sets the fraction to zero, for a draining server. Returns the value to publish. */
    OptionalDouble dropToZero() {
        return update(0);
    }

    private OptionalDouble update(double next) {
        fraction = next;
        if (interpretation == CapacityAdvertisement.NONE || fraction == published) {
            return OptionalDouble.empty();
        }
        published = fraction;
        return OptionalDouble.of(
                switch (interpretation) {
                    case PRIORITY_THRESHOLD -> 1 - fraction;
                    case CLIENT_WINDOW -> fraction * windowPerClient;
                    default -> fraction;
                });
    }
}

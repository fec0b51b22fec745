package ochretiller.processor;

import java.time.Duration;
import java.util.List;
import ochretiller.model.ResourceGauges;
import ochretiller.text.BadInputException;

/**
 * Decodes the processor's gauges, which arrive in the configured order, and stores the last values.
 * Confined to the event loop.
 */
final class GaugeDecoder {
    /** Gauges older than this are reported as unknown. */
    private static final Duration MAX_AGE = Duration.ofSeconds(1);

    private final List<String> names;
    private ResourceGauges lastGauges = ResourceGauges.UNKNOWN;
    private Duration updatedAt = Duration.ZERO;

    /**
     * Creates a decoder whose gauges are unknown until the first {@link #update}.
     *
     * @param names the names of the gauges, in the order in which they are sent
     */
    GaugeDecoder(List<String> names) {
        this.names = names;
    }

    /**
     * Decodes and stores new values.
     *
     * @param values the numbers as received
     * @param now the time since the server's start
     * @throws BadInputException if there are fewer values than names
     * @throws NumberFormatException if a value is not a number
     */
    void update(List<String> values, Duration now) {
        if (values.size() < names.size()) {
            throw new BadInputException(
                    "received " + values.size() + " gauges, expected " + names.size());
        }
        lastGauges =
                new ResourceGauges(
                        value("core_use", values),
                        value("on_cores", values),
                        value("heap_share", values),
                        value("links", values));
        updatedAt = now;
    }

    private double value(String name, List<String> values) {
        int index = names.indexOf(name);
        return index < 0 ? Double.NaN : Double.parseDouble(values.get(index));
    }

    /** Returns the last gauges, or unknown ones if they are too old. */
    ResourceGauges gaugesAt(Duration now) {
        boolean isStale = now.minus(updatedAt).compareTo(MAX_AGE) > 0;
        return isStale ? ResourceGauges.UNKNOWN : lastGauges;
    }
}

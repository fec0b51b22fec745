package ochretiller.processor;

import java.time.Duration;
import java.util.List;
import ochretiller.model.ResourceGauges;
import ochretiller.text.BadInputException;

/**
 * Decodes the processor's gauges, whose order the configuration gives, and keeps the last ones.
 * Belongs to the event loop.
 */
final class GaugeDecoder {
    /** Older gauges say nothing about the present. */
    private static final Duration MAX_AGE = Duration.ofSeconds(1);

    private final List<String> names;
    private ResourceGauges last = ResourceGauges.UNKNOWN;
    private Duration updatedAt = Duration.ZERO;

    /**
     * Gauges that are unknown until the first {@link #update}.
     *
     * @param names the names of the gauges, in the order in which they are sent
     */
    GaugeDecoder(List<String> names) {
        this.names = names;
    }

    /**
     * Takes new gauges.
     *
     * @param values the numbers as they were sent
     * @param now the time since the server's start
     * @throws BadInputException where there are fewer values than names
     * @throws NumberFormatException where a value is no number
     */
    void update(List<String> values, Duration now) {
        if (values.size() < names.size()) {
            throw new BadInputException("too few gauges");
        }
        last =
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

    /** The last gauges, or unknown ones where those are too old. */
    ResourceGauges gaugesAt(Duration now) {
        boolean isStale = now.minus(updatedAt).compareTo(MAX_AGE) > 0;
        return isStale ? ResourceGauges.UNKNOWN : last;
    }
}

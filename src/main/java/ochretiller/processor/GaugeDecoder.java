package ochretiller.processor;

import java.time.Duration;
import java.util.List;
import ochretiller.model.ResourceGauges;
import ochretiller.text.BadInputException;

/** The gauges as last told, by the names that the settings give them. */
final class GaugeDecoder {
    /** Gauges older than this tell nothing of now. */
    private static final Duration STALE = Duration.ofSeconds(1);

    private final List<String> names;
    private ResourceGauges last = ResourceGauges.UNKNOWN;
    private Duration at = Duration.ZERO;

    GaugeDecoder(List<String> names) {
        this.names = names;
    }

    /** The words of a notice, from the first figure on. */
    void told(List<String> figures, Duration now) {
        if (figures.size() < names.size()) {
            throw new BadInputException("too few gauges");
        }
        last =
                new ResourceGauges(
                        figure("core_use", figures),
                        figure("on_cores", figures),
                        figure("heap_share", figures),
                        figure("links", figures));
        at = now;
    }

    private double figure(String name, List<String> figures) {
        int place = names.indexOf(name);
        return place < 0 ? Double.NaN : Double.parseDouble(figures.get(place));
    }

    ResourceGauges at(Duration now) {
        return now.minus(at).compareTo(STALE) > 0 ? ResourceGauges.UNKNOWN : last;
    }
}

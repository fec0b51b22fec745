package ochretiller.drill;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.BufferedWriter;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** All that happened, in the order in which it was seen; a checker reads nothing else. */
final class History {
    private static final ObjectMapper JSON =
            new ObjectMapper().setDefaultPropertyInclusion(JsonInclude.Include.NON_NULL);

    /** Events of one run: a quarter of an hour of a large fleet under load. */
    private static final int MOST = 4_000_000;

    /** Kinds of events. */
    enum What {
        /** A process takes part in the fleet, under this start. */
        STARTED,
        /** A process was told something, or has ended. */
        KILLED,
        PAUSED,
        RESUMED,
        LEAVES,
        ENDED,
        /** What a server sees, where that has changed: states by start. */
        VIEW,
        /** A request was sent to a server, and its one end. */
        ASKED,
        ANSWERED,
        /** A stand-in was told to run one. */
        RAN,
        /**
         * What a server keeps at the end, by range: how many entries, a digest of them, whether it
         * is whole.
         */
        COPIES,
        /** The script could not be carried out as it is written. */
        VOID,
        /** The script has ended. */
        OVER
    }

    /**
     * One.
     *
     * @param id of a request, or the start of a process
     * @param text more, as its kind has it
     */
    record Event(
            double atS, What what, int slot, String id, String text, Map<String, String> view) {}

    private final List<Event> events = new ArrayList<>();
    private final long zero;

    /** A history whose time began at {@code zero}, by the monotonic clock. */
    History(long zero) {
        this.zero = zero;
    }

    double now() {
        return (System.nanoTime() - zero) / 1e9;
    }

    void add(What what, int slot, String id, String text) {
        put(new Event(now(), what, slot, id, text, null));
    }

    void view(int slot, String start, String digest, Map<String, String> states) {
        put(new Event(now(), What.VIEW, slot, start, digest, states));
    }

    synchronized void put(Event event) {
        if (events.size() < MOST) {
            events.add(event);
        }
    }

    synchronized List<Event> all() {
        return List.copyOf(events);
    }

    void write(Path file) throws IOException {
        try (BufferedWriter out = Files.newBufferedWriter(file)) {
            for (Event event : all()) {
                out.append(JSON.writeValueAsString(event)).append('\n');
            }
        }
    }

    static List<Event> read(Path file) throws IOException {
        List<Event> all = new ArrayList<>();
        for (String line : Files.readAllLines(file)) {
            all.add(JSON.readValue(line, Event.class));
        }
        return all;
    }
}

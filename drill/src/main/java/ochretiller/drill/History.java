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

/** The events of one run in the order of their recording, which is all that a checker reads. */
final class History {
    private static final ObjectMapper JSON =
            new ObjectMapper().setDefaultPropertyInclusion(JsonInclude.Include.NON_NULL);

    /** Enough for 15 minutes of a large fleet under load; later events are dropped. */
    private static final int MAX_EVENTS = 4_000_000;

    enum EventType {
        /** A process has joined the fleet; {@code id} is its incarnation, {@code text} its name. */
        STARTED,
        /** A process was killed, paused, resumed or asked to leave, or has exited. */
        KILLED,
        PAUSED,
        RESUMED,
        LEAVES,
        ENDED,
        /** A server's membership view has changed; {@code view} has states by incarnation. */
        VIEW,
        /** A request was sent to a server, and its one answer or failure. */
        ASKED,
        ANSWERED,
        /** A fake processor began the run of a request; {@code id} is the request's body. */
        RAN,
        /**
         * Replicas of a server at the end, as JSON by range: the entry count, a digest and whether
         * the range is complete.
         */
        COPIES,
        /** The scenario could not be run as written, so that the run proves nothing. */
        VOID,
        /** The scenario has ended. */
        OVER
    }

    /**
     * An event, stored as a JSON object. {@code view} is null except for a {@link EventType#VIEW}.
     *
     * @param id a request's number or body, or the incarnation of a process
     * @param text details that depend on the event type
     */
    record Event(
            double atS,
            EventType what,
            int slot,
            String id,
            String text,
            Map<String, String> view) {}

    private final List<Event> events = new ArrayList<>();
    private final long zeroNanos;

    /** Counts time from {@code zeroNanos}, a value of {@link System#nanoTime}. */
    History(long zeroNanos) {
        this.zeroNanos = zeroNanos;
    }

    /** Returns the scenario time in seconds. */
    double now() {
        return (System.nanoTime() - zeroNanos) / 1e9;
    }

    void add(EventType type, int slot, String id, String text) {
        append(new Event(now(), type, slot, id, text, null));
    }

    void addView(int slot, String incarnation, String digest, Map<String, String> states) {
        append(new Event(now(), EventType.VIEW, slot, incarnation, digest, states));
    }

    synchronized void append(Event event) {
        if (events.size() < MAX_EVENTS) {
            events.add(event);
        }
    }

    synchronized List<Event> snapshot() {
        return List.copyOf(events);
    }

    void write(Path file) throws IOException {
        try (BufferedWriter out = Files.newBufferedWriter(file)) {
            for (Event event : snapshot()) {
                out.append(JSON.writeValueAsString(event)).append('\n');
            }
        }
    }

    static List<Event> read(Path file) throws IOException {
        List<Event> events = new ArrayList<>();
        for (String line : Files.readAllLines(file)) {
            events.add(JSON.readValue(line, Event.class));
        }
        return events;
    }
}

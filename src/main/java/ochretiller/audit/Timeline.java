package ochretiller.audit;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * What the records of several servers tell together. What is not known is told as a stretch of its
 * own: between two spans, behind a fault of a chain, while a process was away.
 */
public final class Timeline {
    /**
     * Between the end of one span and the start of the next that much may pass without anything
     * being missing.
     */
    private static final long JOINT_MS = 1_000;

    private final Map<String, List<Entry>> servers = new TreeMap<>();

    /** One stretch of a server's time. */
    public record Stretch(
            String server, long fromMs, long toMs, Known known, long version, String text) {}

    /** How well a stretch is known. */
    public enum Known {
        /** It acted on this version. */
        ACTED("ACTED"),
        /** Keyed work was shut out there. */
        SHUT_OUT("SHUT_OUT"),
        /** Nothing was recorded: the process was away, or its records are lost. */
        UNKNOWN("UNKNOWN");

        private final String externalName;

        Known(String externalName) {
            this.externalName = externalName;
        }

        /** The word by which JSON names it; it stays whatever the constant is called. */
        public String externalName() {
            return externalName;
        }
    }

    /** A run of a token, as one server has it. */
    public record Ran(String server, long version, long atMs) {}

    /** Adds what these records know of where others' audits ended, by their names. */
    public static void witnessed(List<Entry> entries, Map<String, List<Chain.Head>> known) {
        for (Entry entry : entries) {
            if (!(entry instanceof Entry.Event event) || event.kind() != Entry.Kind.WITNESSED) {
                continue;
            }
            String[] words = event.text().split(" ");
            if (words.length == 3) {
                known.computeIfAbsent(words[0], ignored -> new ArrayList<>())
                        .add(new Chain.Head(Long.parseLong(words[1]), words[2]));
            }
        }
    }

    /** A server's records, oldest first. */
    public Timeline add(String server, List<Entry> entries) {
        servers.put(server, List.copyOf(entries));
        return this;
    }

    /** Each server's stretches between two times, one behind the other, without holes. */
    public List<Stretch> between(long fromMs, long toMs) {
        List<Stretch> all = new ArrayList<>();
        servers.forEach((server, entries) -> all.addAll(one(server, entries, fromMs, toMs)));
        return all;
    }

    private static List<Stretch> one(String server, List<Entry> entries, long fromMs, long toMs) {
        List<Stretch> all = new ArrayList<>();
        long at = fromMs;
        String missing = "nothing was recorded";
        boolean shut = false;
        for (Entry entry : entries) {
            if (entry instanceof Entry.Event event) {
                switch (event.kind()) {
                    case SHUT_OUT -> shut = true;
                    case LET_IN, STARTED -> shut = false;
                    case LOST -> missing = "records were lost: " + event.text();
                    default -> {}
                }
                if (event.kind() == Entry.Kind.STARTED) {
                    missing = "its process was away, or ended without a word";
                }
                continue;
            }
            if (!(entry instanceof Entry.Span span)) {
                continue;
            }
            long begins = Math.max(fromMs, span.fromMs());
            long ends = Math.min(toMs, span.toMs());
            if (ends <= begins) {
                continue;
            }
            if (begins - at > JOINT_MS) {
                all.add(new Stretch(server, at, begins, Known.UNKNOWN, 0, missing));
            }
            if (begins > at && begins - at <= JOINT_MS) {
                begins = at;
            }
            // A clock that was set back makes spans overlap: what was told first stands, the rest
            // goes on behind it.
            begins = Math.max(begins, at);
            if (ends > begins) {
                String text =
                        span.steppedMs() == 0
                                ? ""
                                : "its clock was set by " + span.steppedMs() + " ms meanwhile";
                all.add(
                        new Stretch(
                                server,
                                begins,
                                ends,
                                shut ? Known.SHUT_OUT : Known.ACTED,
                                span.version(),
                                text));
                at = ends;
            }
            missing = "nothing was recorded";
        }
        if (toMs - at > JOINT_MS) {
            all.add(
                    new Stretch(
                            server,
                            at,
                            toMs,
                            Known.UNKNOWN,
                            0,
                            "nothing is recorded yet, or it is lost"));
        }
        return all;
    }

    /** Which servers acted on a version between two times, and which may have. */
    public Map<String, Known> who(long version, long fromMs, long toMs) {
        Map<String, Known> all = new TreeMap<>();
        for (Stretch each : between(fromMs, toMs)) {
            if (each.known() == Known.UNKNOWN) {
                all.putIfAbsent(each.server(), Known.UNKNOWN);
            } else if (each.version() == version) {
                all.merge(
                        each.server(),
                        each.known(),
                        (a, b) -> a == Known.ACTED || b == Known.ACTED ? Known.ACTED : b);
            }
        }
        return all;
    }

    /** Runs of a token, oldest first. */
    public List<Ran> token(String token) {
        List<Ran> all = new ArrayList<>();
        servers.forEach(
                (server, entries) -> {
                    for (Entry each : entries) {
                        if (each instanceof Entry.Run run && run.token().equals(token)) {
                            all.add(new Ran(server, run.version(), run.atMs()));
                        }
                    }
                });
        all.sort((a, b) -> Long.compare(a.atMs(), b.atMs()));
        return all;
    }

    /**
     * How long each server acted on something older than the newest that any server acted on at
     * that time, milliseconds.
     */
    public Map<String, Long> behind(long fromMs, long toMs) {
        List<Stretch> all = between(fromMs, toMs);
        Map<Long, Long> firstAt = new TreeMap<>();
        for (Stretch each : all) {
            if (each.known() == Known.ACTED) {
                firstAt.merge(each.version(), each.fromMs(), Math::min);
            }
        }
        Map<String, Long> behind = new TreeMap<>();
        for (Stretch each : all) {
            if (each.known() == Known.UNKNOWN) {
                continue;
            }
            long newerAt =
                    firstAt.entrySet().stream()
                            .filter(other -> other.getKey() > each.version())
                            .mapToLong(Map.Entry::getValue)
                            .min()
                            .orElse(Long.MAX_VALUE);
            long late = each.toMs() - Math.max(each.fromMs(), newerAt);
            if (late > 0) {
                behind.merge(each.server(), late, Long::sum);
            }
        }
        return behind;
    }
}

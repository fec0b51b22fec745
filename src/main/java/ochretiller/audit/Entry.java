package ochretiller.audit;

import java.util.Map;
import java.util.TreeMap;

/** One record of a server's audit. Times are Unix milliseconds, as its clock had them. */
public sealed interface Entry {
    long fromMs();

    /** When it was written: for an event, as it happened. */
    long toMs();

    /** What became of invocations of one operation. */
    record Tally(long read, long run, long replayed, long throttled, long errored) {
        static final Tally NONE = new Tally(0, 0, 0, 0, 0);

        public Tally {
            if (read < 0 || run < 0 || replayed < 0 || throttled < 0 || errored < 0) {
                throw new IllegalArgumentException("no tally");
            }
        }

        Tally plus(Tally more) {
            return new Tally(
                    read + more.read,
                    run + more.run,
                    replayed + more.replayed,
                    throttled + more.throttled,
                    errored + more.errored);
        }
    }

    /**
     * A span in which a server acted on one version.
     *
     * @param tookMs its length by a clock that nobody sets: where that differs from the times, the
     *     Unix clock was set meanwhile
     */
    record Span(
            long version,
            String hash,
            long fromMs,
            long toMs,
            long tookMs,
            Map<String, Tally> operations)
            implements Entry {
        /** Milliseconds by which the clocks may differ over a span by themselves. */
        private static final long DRIFT_MS = 50;

        public Span {
            if (version < 0 || hash.length() > 64 || tookMs < 0) {
                throw new IllegalArgumentException("no span");
            }
            operations = Map.copyOf(operations);
        }

        /**
         * By how much the Unix clock was set forward, negative for back; 0 where it ran as it
         * should.
         */
        public long steppedMs() {
            long stepped = toMs - fromMs - tookMs;
            return Math.abs(stepped) <= DRIFT_MS + tookMs / 1_000 ? 0 : stepped;
        }

        public Tally all() {
            return operations.values().stream().reduce(Tally.NONE, Tally::plus);
        }

        @Override
        public String toString() {
            return "span of version " + version + ' ' + new TreeMap<>(operations);
        }
    }

    /** Something that happened: a change, a refusal, a fence, a start. */
    record Event(Kind kind, long version, long atMs, String text) implements Entry {
        /** Characters of a text at most. */
        public static final int LONGEST = 300;

        public Event {
            if (text.length() > LONGEST || version < 0) {
                throw new IllegalArgumentException("no event");
            }
        }

        @Override
        public long fromMs() {
            return atMs;
        }

        @Override
        public long toMs() {
            return atMs;
        }
    }

    /** A run of a keyed invocation under a version, so that it can be told for a token. */
    record Run(long version, long atMs, String token) implements Entry {
        /** Characters of a token at most. */
        public static final int LONGEST = 200;

        public Run {
            if (token.isEmpty() || token.length() > LONGEST || version < 0) {
                throw new IllegalArgumentException("no run");
            }
        }

        @Override
        public long fromMs() {
            return atMs;
        }

        @Override
        public long toMs() {
            return atMs;
        }
    }

    /** Kinds of events. Their places are in files: new ones come last. */
    enum Kind {
        /** A process began; what was before it is known as far as its file tells. */
        STARTED,
        /** From here on another version is acted on. */
        CHANGED,
        /** A version cannot be acted on here. */
        REFUSED,
        /** Keyed work is shut out: the lease has ended. */
        SHUT_OUT,
        /** It is let in again. */
        LET_IN,
        /** A version was published here. */
        PUBLISHED,
        /** A rollout has gone on, halted or was taken back. */
        ROLLOUT,
        /** Some of the audit could not be written: what is missing is not known. */
        LOST,
        /** The process ended as it should. */
        ENDED,
        /**
         * Where another's audit ended when this server last heard: its name, the number of its last
         * record, that record's hash.
         */
        WITNESSED
    }
}

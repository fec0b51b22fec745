package ochretiller.audit;

import java.util.Map;
import java.util.TreeMap;

/** One record of a server's audit. Times are Unix milliseconds, as its clock had them. */
public sealed interface AuditRecord {
    long startMillis();

    /** When it was written: for an event, as it happened. */
    long endMillis();

    /** What became of invocations of one operation. */
    record InvocationCounts(
            long received, long executed, long replayed, long throttled, long errored) {
        static final InvocationCounts NONE = new InvocationCounts(0, 0, 0, 0, 0);

        public InvocationCounts {
            if (received < 0 || executed < 0 || replayed < 0 || throttled < 0 || errored < 0) {
                throw new IllegalArgumentException("no tally");
            }
        }

        InvocationCounts plus(InvocationCounts more) {
            return new InvocationCounts(
                    received + more.received,
                    executed + more.executed,
                    replayed + more.replayed,
                    throttled + more.throttled,
                    errored + more.errored);
        }
    }

    /**
     * A span in which a server acted on one version.
     *
     * @param monotonicMillis its length by a clock that nobody sets: where that differs from the
     *     times, the Unix clock was set meanwhile
     */
    record VersionPeriod(
            long version,
            String versionHash,
            long startMillis,
            long endMillis,
            long monotonicMillis,
            Map<String, InvocationCounts> operations)
            implements AuditRecord {
        /** Milliseconds by which the clocks may differ over a span by themselves. */
        private static final long DRIFT_MS = 50;

        public VersionPeriod {
            if (version < 0 || versionHash.length() > 64 || monotonicMillis < 0) {
                throw new IllegalArgumentException("no span");
            }
            operations = Map.copyOf(operations);
        }

        /**
         * By how much the Unix clock was set forward, negative for back; 0 where it ran as it
         * should.
         */
        public long clockStepMillis() {
            long stepped = endMillis - startMillis - monotonicMillis;
            return Math.abs(stepped) <= DRIFT_MS + monotonicMillis / 1_000 ? 0 : stepped;
        }

        public InvocationCounts totals() {
            return operations.values().stream()
                    .reduce(InvocationCounts.NONE, InvocationCounts::plus);
        }

        @Override
        public String toString() {
            return "span of version " + version + ' ' + new TreeMap<>(operations);
        }
    }

    /** Something that happened: a change, a refusal, a fence, a start. */
    record AuditEvent(AuditEventKind kind, long version, long atMillis, String text)
            implements AuditRecord {
        /** Characters of a text at most. */
        public static final int MAX_TEXT_CHARS = 300;

        public AuditEvent {
            if (text.length() > MAX_TEXT_CHARS || version < 0) {
                throw new IllegalArgumentException("no event");
            }
        }

        @Override
        public long startMillis() {
            return atMillis;
        }

        @Override
        public long endMillis() {
            return atMillis;
        }
    }

    /** A run of a keyed invocation under a version, so that it can be told for a token. */
    record KeyedRun(long version, long atMillis, String token) implements AuditRecord {
        /** Characters of a token at most. */
        public static final int MAX_TOKEN_CHARS = 200;

        public KeyedRun {
            if (token.isEmpty() || token.length() > MAX_TOKEN_CHARS || version < 0) {
                throw new IllegalArgumentException("no run");
            }
        }

        @Override
        public long startMillis() {
            return atMillis;
        }

        @Override
        public long endMillis() {
            return atMillis;
        }
    }

    /** Kinds of events. Their places are in files: new ones come last. */
    enum AuditEventKind {
        /** A process began; what was before it is known as far as its file tells. */
        STARTED,
        /** From here on another version is acted on. */
        VERSION_CHANGED,
        /** A version cannot be acted on here. */
        VERSION_REJECTED,
        /** Keyed work is shut out: the lease has ended. */
        FENCED,
        /** It is let in again. */
        UNFENCED,
        /** A version was published here. */
        VERSION_PUBLISHED,
        /** A rollout has gone on, halted or was taken back. */
        ROLLOUT_CHANGED,
        /** Some of the audit could not be written: what is missing is not known. */
        RECORDS_LOST,
        /** The process ended as it should. */
        STOPPED,
        /**
         * Where another's audit ended when this server last heard: its name, the number of its last
         * record, that record's hash.
         */
        PEER_AUDIT_WITNESSED
    }
}

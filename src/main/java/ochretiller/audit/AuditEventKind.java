package ochretiller.audit;

import java.util.Arrays;
import java.util.Optional;

/** Kinds of events. */
public enum AuditEventKind {
    /** A process began; what was before it is known as far as its file tells. */
    STARTED(0),
    /** From here on another version is acted on. */
    VERSION_CHANGED(1),
    /** A version cannot be acted on here. */
    VERSION_REJECTED(2),
    /** The lease has ended: keyed work is fenced off. */
    FENCED(3),
    /** Keyed work is admitted again. */
    UNFENCED(4),
    /** A version was published here. */
    VERSION_PUBLISHED(5),
    /** A rollout has gone on, halted or was rolled back. */
    ROLLOUT_CHANGED(6),
    /** Some of the audit could not be written: what is missing is not known. */
    RECORDS_LOST(7),
    /** The process ended in order. */
    STOPPED(8),
    /**
     * Where a peer's audit ended when this server last heard of it: its name, the number of its
     * last record, that record's hash.
     */
    PEER_AUDIT_WITNESSED(9);

    private final int code;

    AuditEventKind(int code) {
        this.code = code;
    }

    /** The number by which it is stored. */
    public int code() {
        return code;
    }

    /** The kind that is stored by this number; empty where there is none. */
    public static Optional<AuditEventKind> ofCode(long code) {
        return Arrays.stream(values()).filter(kind -> kind.code == code).findFirst();
    }
}

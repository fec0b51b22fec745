package ochretiller.audit;

import java.util.Arrays;
import java.util.Optional;

/** Kinds of {@link AuditEvent}, each stored as its code. */
public enum AuditEventKind {
    /** The server's process started; the end of the previous process may be unrecorded. */
    STARTED(0),
    /** Another version became active. */
    VERSION_CHANGED(1),
    /** The server cannot activate a version. */
    VERSION_REJECTED(2),
    /** The lease expired: keyed invocations are no longer admitted. */
    FENCED(3),
    /** Keyed invocations are admitted again. */
    UNFENCED(4),
    /** A version was published on this server. */
    VERSION_PUBLISHED(5),
    /** A rollout advanced, halted or was rolled back. */
    ROLLOUT_CHANGED(6),
    /** Records could not be written; their content is lost. */
    RECORDS_LOST(7),
    /** The process shut down cleanly. */
    STOPPED(8),
    /**
     * The last record of a peer's audit that the peer has reported to this server. The text is the
     * peer's name, the record's number and its hash, separated by spaces.
     */
    PEER_AUDIT_WITNESSED(9);

    private final int code;

    AuditEventKind(int code) {
        this.code = code;
    }

    /** Returns the number that represents this kind in stored records. */
    public int code() {
        return code;
    }

    /** Returns the kind with this code; empty if there is none. */
    public static Optional<AuditEventKind> ofCode(long code) {
        return Arrays.stream(values()).filter(kind -> kind.code == code).findFirst();
    }
}

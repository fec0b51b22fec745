package ochretiller.idempotency.durable;

import java.util.Arrays;
import java.util.Optional;

/** The last known progress of a keyed invocation. */
public enum InvocationProgress {
    /** The run may have begun; its outcome is unknown. */
    IN_FLIGHT(0, "MARKED"),
    /** The run has succeeded and its result is stored. */
    SUCCEEDED(1, "SUCCEEDED"),
    /** The run has ended without a result and may have taken effect. */
    ENDED_WITHOUT_RESULT(2, "LOST");

    private final byte code;
    private final String externalName;

    InvocationProgress(int code, String externalName) {
        this.code = (byte) code;
        this.externalName = externalName;
    }

    /** Number that represents the constant in stored records. */
    byte code() {
        return code;
    }

    /** Returns the constant with this code; empty if there is none. */
    static Optional<InvocationProgress> ofCode(byte code) {
        return Arrays.stream(values()).filter(each -> each.code == code).findFirst();
    }

    /** Name that {@code store list} prints; it must not change if the constant is renamed. */
    public String externalName() {
        return externalName;
    }
}

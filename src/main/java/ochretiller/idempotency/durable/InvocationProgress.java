package ochretiller.idempotency.durable;

import java.util.Arrays;
import java.util.Optional;

/** How far a keyed invocation is known to have come. */
public enum InvocationProgress {
    /** Its run may have begun; how it ended is unknown. */
    IN_FLIGHT(0, "MARKED"),
    /** It has succeeded, and its result is stored. */
    SUCCEEDED(1, "SUCCEEDED"),
    /** It has ended without a result, and may have had its effect. */
    ENDED_WITHOUT_RESULT(2, "LOST");

    private final byte code;
    private final String externalName;

    InvocationProgress(int code, String externalName) {
        this.code = (byte) code;
        this.externalName = externalName;
    }

    /** The number by which it is stored. */
    byte code() {
        return code;
    }

    /** The constant that is stored by this number; empty where there is none. */
    static Optional<InvocationProgress> ofCode(byte code) {
        return Arrays.stream(values()).filter(each -> each.code == code).findFirst();
    }

    /** The word by which {@code store list} names it; it stays whatever the constant is called. */
    public String externalName() {
        return externalName;
    }
}

package ochretiller.store;

import java.io.IOException;

/** A directory that cannot be used as a store; the message is one line for the operator. */
public final class StoreException extends IOException {
    private static final long serialVersionUID = 1L;

    /** An error with nothing else as its cause. */
    public StoreException(String message) {
        super(message);
    }
}

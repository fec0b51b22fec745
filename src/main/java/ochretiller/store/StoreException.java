package ochretiller.store;

import java.io.IOException;

/** Thrown if a directory cannot be used as a store. The message is one line for the operator. */
public final class StoreException extends IOException {
    private static final long serialVersionUID = 1L;

    /** Creates an exception without a cause. */
    public StoreException(String message) {
        super(message);
    }
}

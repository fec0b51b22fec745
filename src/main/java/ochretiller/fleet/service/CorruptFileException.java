package ochretiller.fleet.service;

import java.io.IOException;
import java.nio.file.Path;

/** Thrown if a file is truncated or altered, or its content is not as expected. */
final class CorruptFileException extends IOException {
    private static final long serialVersionUID = 1;

    CorruptFileException(Path file, String reason) {
        super(file + " is corrupt: " + reason);
    }

    CorruptFileException(Path file, Exception cause) {
        super(file + " is corrupt: " + cause.getMessage(), cause);
    }
}

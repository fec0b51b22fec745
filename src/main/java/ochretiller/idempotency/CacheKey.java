package ochretiller.idempotency;

import java.util.Optional;
import ochretiller.model.Operation;

/** The key of an original attempt; a later attempt with an equal key repeats it. */
sealed interface CacheKey {
    /** An idempotency key chosen by the client. */
    record Token(String token) implements CacheKey {}

    /** An idempotent read of one object. */
    record Read(Operation operation, String object) implements CacheKey {}

    /** Returns the key of an attempt; empty if repeats of it cannot be recognized. */
    static Optional<CacheKey> of(Attempt attempt) {
        if (attempt.operation().isKeyed()) {
            return attempt.token().map(Token::new);
        }
        return attempt.operation().isIdempotent()
                ? attempt.object().map(object -> new Read(attempt.operation(), object))
                : Optional.empty();
    }
}

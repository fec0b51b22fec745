package ochretiller.idempotency;

import java.util.Optional;
import ochretiller.model.Operation;

/** What two attempts must share for one to be a repeat of the other. */
sealed interface CacheKey {
    /** An idempotency key that a client chose. */
    record Token(String token) implements CacheKey {}

    /** An idempotent read of one object. */
    record Read(Operation operation, String object) implements CacheKey {}

    /** The key of an attempt; empty where nothing can repeat it. */
    static Optional<CacheKey> of(Attempt attempt) {
        if (attempt.operation().isKeyed()) {
            return attempt.token().map(Token::new);
        }
        return attempt.operation().isIdempotent()
                ? attempt.object().map(object -> new Read(attempt.operation(), object))
                : Optional.empty();
    }
}

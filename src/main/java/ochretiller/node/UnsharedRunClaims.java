package ochretiller.node;

import java.util.function.Consumer;
import ochretiller.frontend.RequestAttempt;
import ochretiller.model.RunOutcome;

/**
 * Claims of a server that shares its idempotency keys with no other server: each claim is granted
 * at once. Stateless.
 */
final class UnsharedRunClaims implements RunClaims {
    @Override
    public void claim(RequestAttempt attempt, ClaimListener listener) {
        listener.onClaimGranted();
    }

    @Override
    public void release(RequestAttempt attempt) {
        // there are no claims to release
    }

    @Override
    public void onRunFinished(
            RequestAttempt attempt,
            RunOutcome.Status status,
            byte[] result,
            Consumer<Boolean> onStored) {
        onStored.accept(true);
    }
}

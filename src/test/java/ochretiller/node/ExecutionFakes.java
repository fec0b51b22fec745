package ochretiller.node;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import ochretiller.execution.RunBackend;
import ochretiller.execution.RunRequest;
import ochretiller.frontend.RequestAttempt;
import ochretiller.model.Operation;
import ochretiller.model.RunOutcome.Status;
import ochretiller.net.Scheduler;

/**
 * Fakes of what an {@link InvocationExecutor} uses. Each adds its calls to a list of events, and
 * completes them when the test says so or at once.
 */
final class ExecutionFakes {
    static final byte[] RESULT = "done".getBytes();

    private ExecutionFakes() {}

    static final class FakeClaims implements RunClaims {
        private final List<String> events;
        ClaimListener listener;
        Consumer<Boolean> onStored;
        boolean grantsAtOnce;
        boolean deniesAtOnce;

        FakeClaims(List<String> events) {
            this.events = events;
        }

        @Override
        public void claim(RequestAttempt attempt, ClaimListener claimListener) {
            events.add("claim");
            listener = claimListener;
            if (grantsAtOnce) {
                claimListener.onClaimGranted();
            } else if (deniesAtOnce) {
                claimListener.onClaimDenied();
            }
        }

        @Override
        public void release(RequestAttempt attempt) {
            events.add("release");
        }

        @Override
        public void onRunFinished(
                RequestAttempt attempt, Status status, byte[] result, Consumer<Boolean> stored) {
            events.add("share " + status);
            onStored = stored;
        }
    }

    static final class FakeStore extends VolatileIdempotency {
        private final List<String> events;
        MarkerListener listener;
        Runnable onStored;
        boolean isDurableAtOnce;
        boolean failsAtOnce;

        FakeStore(Scheduler scheduler, List<String> events) {
            super(scheduler);
            this.events = events;
        }

        @Override
        public void writeMarker(RequestAttempt attempt, MarkerListener markerListener) {
            events.add("mark");
            listener = markerListener;
            if (isDurableAtOnce) {
                markerListener.onMarkerDurable();
            } else if (failsAtOnce) {
                markerListener.onMarkerFailed();
            }
        }

        @Override
        public void onRunFinished(
                RequestAttempt attempt, Status status, byte[] result, Runnable stored) {
            events.add("store " + status);
            onStored = stored;
        }
    }

    static final class FakeRollout extends NoRollout {
        boolean hasLease = true;
        boolean losesLeaseAfterNextCheck;

        @Override
        public boolean mayRun(RequestAttempt attempt) {
            boolean hadLease = hasLease;
            hasLease = hasLease && !losesLeaseAfterNextCheck;
            return hadLease;
        }
    }

    /** Runs all operations in one pool, so that the processor is never used. */
    static final class FakePools implements WorkerPools, RunBackend {
        private final List<String> events;
        RunListener listener;
        boolean finishesAtOnce;

        FakePools(List<String> events) {
            this.events = events;
        }

        @Override
        public Optional<String> poolOf(Operation operation) {
            return Optional.of("pool");
        }

        @Override
        public int capacity(String pool) {
            return 1;
        }

        @Override
        public int freeSlots(String pool) {
            return 1;
        }

        @Override
        public void reserveSlot(Operation operation) {
            events.add("reserve");
        }

        @Override
        public void cancelReservation(Operation operation) {
            events.add("cancel");
        }

        @Override
        public RunBackend backend() {
            return this;
        }

        @Override
        public Runnable prepareReload(ServerConfiguration reloaded) {
            throw new UnsupportedOperationException();
        }

        @Override
        public void close() {
            // nothing is open
        }

        @Override
        public void startRun(RunRequest request, RunListener runListener) {
            events.add("start");
            listener = runListener;
            if (finishesAtOnce) {
                runListener.onRunFinished(Status.SUCCEEDED, Duration.ofMillis(20), RESULT);
            }
        }

        @Override
        public void cancelRun(String requestId) {
            events.add("stop");
        }
    }
}

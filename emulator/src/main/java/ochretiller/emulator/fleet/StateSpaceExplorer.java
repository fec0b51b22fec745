package ochretiller.emulator.fleet;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Explores all orders of events of a {@link StateModel} breadth first, to a given depth. States
 * with equal fingerprints are explored once. No state may violate a rule, and from each one the
 * model must settle if no further fault occurs.
 */
public final class StateSpaceExplorer {
    private final Supplier<StateModel> modelFactory;

    /**
     * The result of an exploration.
     *
     * @param depth last depth that was explored completely, or at which a violation was found
     * @param maxRoundsToSettle most steps without faults until a state settled
     * @param violation the violation with the path of actions to it; null if there is none
     */
    public record Result(
            int depth, long states, long transitions, int maxRoundsToSettle, String violation) {}

    public StateSpaceExplorer(Supplier<StateModel> modelFactory) {
        this.modelFactory = modelFactory;
    }

    private StateModel replay(byte[] path) {
        StateModel model = modelFactory.get();
        for (byte action : path) {
            model.perform(action);
        }
        return model;
    }

    /** A state that was reached, by the path of actions that leads to it. */
    private record ReachedState(long fingerprint, byte[] path, String violation) {}

    private List<ReachedState> expand(byte[] path, int actions) {
        List<ReachedState> reached = new ArrayList<>();
        for (int action = 0; action < actions; action++) {
            StateModel model = replay(path);
            if (!model.perform(action)) {
                continue;
            }
            byte[] next = Arrays.copyOf(path, path.length + 1);
            next[path.length] = (byte) action;
            long fingerprint = model.fingerprint();
            reached.add(new ReachedState(fingerprint, next, model.violation()));
        }
        return reached;
    }

    /**
     * Explores depth by depth until there are no new states, the first violation, or a completed
     * depth with more than {@code maxStates} states in all. Uses one thread per processor.
     */
    public Result explore(int depth, long maxStates, Consumer<String> progress) throws Exception {
        Set<Long> fingerprints = new HashSet<>();
        List<byte[]> frontier = List.of(new byte[0]);
        fingerprints.add(modelFactory.get().fingerprint());
        long transitions = 0;
        int maxRounds = 0;
        int completedDepth = 0;
        ExecutorService executor =
                Executors.newFixedThreadPool(
                        Runtime.getRuntime().availableProcessors(),
                        work -> {
                            Thread thread = new Thread(work, "explore");
                            thread.setDaemon(true);
                            return thread;
                        });
        try {
            for (int level = 1; level <= depth; level++) {
                List<Callable<List<ReachedState>>> work = new ArrayList<>();
                for (byte[] path : frontier) {
                    work.add(() -> expand(path, replay(path).actionCount()));
                }
                List<byte[]> next = new ArrayList<>();
                for (Future<List<ReachedState>> each : executor.invokeAll(work)) {
                    for (ReachedState reached : each.get()) {
                        transitions++;
                        if (reached.violation != null) {
                            return new Result(
                                    level,
                                    fingerprints.size(),
                                    transitions,
                                    maxRounds,
                                    reached.violation + " by " + Arrays.toString(reached.path));
                        }
                        if (fingerprints.add(reached.fingerprint)) {
                            next.add(reached.path);
                        }
                    }
                }
                List<Callable<Integer>> settleTasks = new ArrayList<>();
                for (byte[] path : next) {
                    settleTasks.add(() -> replay(path).roundsToSettle());
                }
                int index = 0;
                for (Future<Integer> each : executor.invokeAll(settleTasks)) {
                    if (each.get() < 0) {
                        return new Result(
                                level,
                                fingerprints.size(),
                                transitions,
                                maxRounds,
                                "does not settle, by " + Arrays.toString(next.get(index)));
                    }
                    maxRounds = Math.max(maxRounds, each.get());
                    index++;
                }
                completedDepth = level;
                progress.accept(
                        String.format(
                                Locale.ROOT,
                                "depth %d: %d states, %d steps, settles within %d looks",
                                level,
                                fingerprints.size(),
                                transitions,
                                maxRounds));
                frontier = next;
                if (frontier.isEmpty() || fingerprints.size() > maxStates) {
                    break;
                }
            }
        } finally {
            executor.shutdownNow();
        }
        return new Result(completedDepth, fingerprints.size(), transitions, maxRounds, null);
    }
}

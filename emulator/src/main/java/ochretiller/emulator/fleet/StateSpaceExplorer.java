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
 * Goes through all orders of events of a {@link StateModel} to a depth, breadth first. States that
 * go on alike are one. In each state no rule may be broken, and from each all has to become well
 * once nothing more goes wrong.
 */
public final class StateSpaceExplorer {
    private final Supplier<StateModel> models;

    /** What came of it. */
    public record Found(int depth, long states, long edges, int worstSettles, String broken) {}

    public StateSpaceExplorer(Supplier<StateModel> models) {
        this.models = models;
    }

    private StateModel replay(byte[] path) {
        StateModel fleet = models.get();
        for (byte action : path) {
            fleet.act(action);
        }
        return fleet;
    }

    /** One state that was reached: what of it is kept. */
    private record Reached(long fingerprint, byte[] path, String broken) {}

    private List<Reached> expand(byte[] path, int actions) {
        List<Reached> all = new ArrayList<>();
        for (int action = 0; action < actions; action++) {
            StateModel fleet = replay(path);
            if (!fleet.act(action)) {
                continue;
            }
            byte[] next = Arrays.copyOf(path, path.length + 1);
            next[path.length] = (byte) action;
            long fingerprint = fleet.fingerprint();
            all.add(new Reached(fingerprint, next, fleet.broken()));
        }
        return all;
    }

    /**
     * Explores breadth first, each depth whole, until a depth would bring more states than are
     * wanted.
     */
    public Found explore(int depth, long mostStates, Consumer<String> progress) throws Exception {
        Set<Long> known = new HashSet<>();
        List<byte[]> front = List.of(new byte[0]);
        known.add(models.get().fingerprint());
        long edges = 0;
        int worst = 0;
        int done = 0;
        ExecutorService threads =
                Executors.newFixedThreadPool(
                        Runtime.getRuntime().availableProcessors(),
                        work -> {
                            Thread thread = new Thread(work, "explore");
                            thread.setDaemon(true);
                            return thread;
                        });
        try {
            for (int level = 1; level <= depth; level++) {
                List<Callable<List<Reached>>> work = new ArrayList<>();
                for (byte[] path : front) {
                    work.add(() -> expand(path, replay(path).actions()));
                }
                List<byte[]> next = new ArrayList<>();
                for (Future<List<Reached>> each : threads.invokeAll(work)) {
                    for (Reached reached : each.get()) {
                        edges++;
                        if (reached.broken != null) {
                            return new Found(
                                    level,
                                    known.size(),
                                    edges,
                                    worst,
                                    reached.broken + " by " + Arrays.toString(reached.path));
                        }
                        if (known.add(reached.fingerprint)) {
                            next.add(reached.path);
                        }
                    }
                }
                List<Callable<Integer>> heals = new ArrayList<>();
                for (byte[] path : next) {
                    heals.add(() -> replay(path).settles());
                }
                int index = 0;
                for (Future<Integer> each : threads.invokeAll(heals)) {
                    if (each.get() < 0) {
                        return new Found(
                                level,
                                known.size(),
                                edges,
                                worst,
                                "does not settle, by " + Arrays.toString(next.get(index)));
                    }
                    worst = Math.max(worst, each.get());
                    index++;
                }
                done = level;
                progress.accept(
                        String.format(
                                Locale.ROOT,
                                "depth %d: %d states, %d steps, settles within %d looks",
                                level,
                                known.size(),
                                edges,
                                worst));
                front = next;
                if (front.isEmpty() || known.size() > mostStates) {
                    break;
                }
            }
        } finally {
            threads.shutdownNow();
        }
        return new Found(done, known.size(), edges, worst, null);
    }
}

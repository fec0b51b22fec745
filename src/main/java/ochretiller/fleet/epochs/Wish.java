package ochretiller.fleet.epochs;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Which epoch a voter wishes for, from what it sees: one change at a time, and only of what has stood for a while. A view is an
 * opinion; what follows from it is agreed on, and a keeper that comes back is taken in again.
 */
public final class Wish {
    private final Duration calm;
    private final int fewest;
    private final Map<String, Duration> since = new HashMap<>();
    private final Map<String, Boolean> there = new HashMap<>();
    private long epoch = -1;
    private Duration epochSince = Duration.ZERO;

    /**
     * @param calm   how long a server has to be there, or gone, before anything follows from it
     * @param fewest keepers that are left in any case: whom nobody sees may still have the only copies
     */
    public Wish(Duration calm, int fewest) {
        this.calm = calm;
        this.fewest = fewest;
    }

    /** What the view says now of all that it knows. */
    public void seen(Map<String, Boolean> view, Duration now) {
        view.forEach((name, is) -> {
            if (!is.equals(there.put(name, is))) since.put(name, now);
        });
        there.keySet().retainAll(view.keySet());
        since.keySet().retainAll(view.keySet());
    }

    private boolean calmly(String name, boolean is, Duration now) {
        return Boolean.valueOf(is).equals(there.get(name)) && now.minus(since.get(name)).compareTo(calm) >= 0;
    }

    /** The next layout, or none where the one in force is good. Newcomers come first: who leaves takes copies along. */
    public Optional<Layout> next(Layout now, List<Layout.Server> servers, Duration time) {
        if (now.epoch() != epoch) {
            epoch = now.epoch();
            epochSince = time;
        }
        // One change at a time: what the last one moved is to be whole before the next.
        if (time.minus(epochSince).compareTo(calm) < 0 && !now.servers().isEmpty()) return Optional.empty();
        Optional<Layout.Server> newcomer = servers.stream().filter(each -> !now.has(each.name()) && calmly(each.name(), true, time))
            .min(Comparator.comparing(Layout.Server::name));
        if (newcomer.isPresent()) return Optional.of(now.with(newcomer.get()));
        if (now.servers().size() <= fewest) return Optional.empty();
        return now.servers().stream().filter(each -> calmly(each.name(), false, time)).findFirst().map(gone -> now.without(gone.name()));
    }
}

package ochretiller.emulator.simulation;

import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;

/**
 * Which boxes there are, as a gateway may know it, and who owns which key: a change moves only keys
 * of the places that change.
 */
final class ServiceDirectory {
    /** Points of a place on the ring: with these the parts of places differ by a few tenths. */
    private static final int POINTS = 32;

    final List<EmulatedServer> boxes;
    private final TreeMap<Long, EmulatedServer> ring = new TreeMap<>();

    ServiceDirectory(List<EmulatedServer> boxes) {
        this.boxes = List.copyOf(boxes);
        for (EmulatedServer box : boxes) {
            SplittableRandom points = new SplittableRandom(box.place);
            for (int i = 0; i < POINTS; i++) {
                ring.put(points.nextLong(), box);
            }
        }
    }

    EmulatedServer owner(String token) {
        if (ring.isEmpty()) {
            return null;
        }
        Map.Entry<Long, EmulatedServer> next =
                ring.ceilingEntry(new SplittableRandom(token.hashCode()).nextLong());
        return (next == null ? ring.firstEntry() : next).getValue();
    }
}

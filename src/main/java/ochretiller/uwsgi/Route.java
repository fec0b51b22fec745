package ochretiller.uwsgi;

import java.util.ArrayList;
import java.util.List;
import ochretiller.model.Operation;
import ochretiller.paths.PathPattern;
import ochretiller.settings.MalformedException;

/**
 * Which operation a request asks for. Of several that match, the first holds.
 *
 * @param kb memory that is booked for it while it is held, in KB
 */
public record Route(String method, PathPattern path, Operation operation, double kb) {
    /** What is odd about a list, a line each; one that can never be reached is a fault. */
    public static List<String> check(List<Route> routes) {
        List<String> odd = new ArrayList<>();
        for (int later = 0; later < routes.size(); later++) {
            for (int first = 0; first < later; first++) {
                Route hides = routes.get(first);
                Route hidden = routes.get(later);
                if (!hides.method.equals(hidden.method)) {
                    continue;
                }
                String both =
                        "route "
                                + (later + 1)
                                + " ("
                                + hidden.method
                                + " "
                                + hidden.path.text()
                                + ")";
                String by = "route " + (first + 1) + " (" + hides.path.text() + ")";
                if (hides.path.covers(hidden.path)) {
                    throw new MalformedException(both + " is never reached: " + by + " covers it");
                }
                if (hides.path.overlaps(hidden.path)) {
                    odd.add(both + " overlaps " + by + ", which comes first");
                }
            }
        }
        return odd;
    }
}

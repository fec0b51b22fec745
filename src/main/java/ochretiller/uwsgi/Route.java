package ochretiller.uwsgi;

import java.util.ArrayList;
import java.util.List;
import ochretiller.model.Operation;
import ochretiller.paths.PathPattern;
import ochretiller.settings.MalformedException;

/**
 * Maps requests to an operation. If several routes match a request, the first one applies.
 *
 * @param method the HTTP method
 * @param path the pattern that the request path must match
 * @param operation the operation to run
 * @param memoryKb memory to reserve for an attempt, in KB
 */
public record Route(String method, PathPattern path, Operation operation, double memoryKb) {
    /**
     * Checks the routes of one frontend against each other.
     *
     * @return one warning for each pair of overlapping routes
     * @throws MalformedException if a route is never reached because an earlier one covers it
     */
    public static List<String> check(List<Route> routes) {
        List<String> warnings = new ArrayList<>();
        for (int index = 0; index < routes.size(); index++) {
            for (int earlierIndex = 0; earlierIndex < index; earlierIndex++) {
                if (routes.get(earlierIndex).method.equals(routes.get(index).method)) {
                    checkPair(routes, earlierIndex, index, warnings);
                }
            }
        }
        return warnings;
    }

    private static void checkPair(
            List<Route> routes, int earlierIndex, int index, List<String> warnings) {
        Route earlier = routes.get(earlierIndex);
        Route route = routes.get(index);
        String name = "route " + (index + 1) + " (" + route.method + " " + route.path.text() + ")";
        String earlierName = "route " + (earlierIndex + 1) + " (" + earlier.path.text() + ")";
        if (earlier.path.covers(route.path)) {
            throw new MalformedException(name + " is never reached: " + earlierName + " covers it");
        }
        if (earlier.path.overlaps(route.path)) {
            warnings.add(name + " overlaps " + earlierName + ", which comes first");
        }
    }
}

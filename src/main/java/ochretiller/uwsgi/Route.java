package ochretiller.uwsgi;

import java.util.ArrayList;
import java.util.List;
import ochretiller.model.Operation;
import ochretiller.paths.PathPattern;
import ochretiller.settings.MalformedException;

/**
 * Maps requests to an operation. Of several routes that match a request, the first counts.
 *
 * @param method the HTTP method
 * @param path the pattern of the path
 * @param operation the operation to run
 * @param kb memory to reserve for an attempt, in KB
 */
public record Route(String method, PathPattern path, Operation operation, double kb) {
    /**
     * Checks a list of routes.
     *
     * @return warnings on routes that overlap an earlier one, a line each
     * @throws MalformedException where a route can never be reached
     */
    public static List<String> check(List<Route> routes) {
        List<String> warnings = new ArrayList<>();
        for (int later = 0; later < routes.size(); later++) {
            for (int first = 0; first < later; first++) {
                if (routes.get(first).method.equals(routes.get(later).method)) {
                    checkPair(routes, first, later, warnings);
                }
            }
        }
        return warnings;
    }

    private static void checkPair(
            List<Route> routes, int first, int later, List<String> warnings) {
        Route hiding = routes.get(first);
        Route hidden = routes.get(later);
        String hiddenName =
                "route " + (later + 1) + " (" + hidden.method + " " + hidden.path.text() + ")";
        String hidingName = "route " + (first + 1) + " (" + hiding.path.text() + ")";
        if (hiding.path.covers(hidden.path)) {
            throw new MalformedException(
                    hiddenName + " is never reached: " + hidingName + " covers it");
        }
        if (hiding.path.overlaps(hidden.path)) {
            warnings.add(hiddenName + " overlaps " + hidingName + ", which comes first");
        }
    }
}

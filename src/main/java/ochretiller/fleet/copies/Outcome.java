package ochretiller.fleet.copies;

/**
 * How a claimed run has ended.
 *
 * @param succeeded whether there is a result; a run that failed may have had its effect, and is never run again
 * @param body      hash of what was asked for
 * @param result    what repeats are answered with; empty where it did not succeed
 */
public record Outcome(boolean succeeded, String body, String result) {
}

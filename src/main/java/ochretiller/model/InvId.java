package ochretiller.model;

/** An invocation, by the number it was read under. */
public record InvId(long value) {
}

package ochretiller.model;

/** The caller that sent an invocation. */
public record CallerId(long value) {
}

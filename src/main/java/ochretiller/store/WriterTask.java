package ochretiller.store;

/** A task for the writer thread. */
sealed interface WriterTask permits AppendRequest, WriterTask.EngineCall {
    /**
     * A task other than an append, run between two group commits.
     *
     * @param action runs on the writer thread
     */
    record EngineCall(Runnable action) implements WriterTask {}
}

package ochretiller.store;

/** Something that the writer thread is asked to do. */
sealed interface WriterTask permits AppendRequest, WriterTask.EngineCall {
    /**
     * Something other than an append, done between two group commits.
     *
     * @param action run on the writer thread
     */
    record EngineCall(Runnable action) implements WriterTask {}
}

/**
 * An embedded key-value log: append-only segments, an index in memory, group commit, compaction,
 * recovery. It knows nothing of invocations. {@code docs/store-format.md} is the page of its files;
 * they follow the page, not the other way round.
 */
package ochretiller.store;

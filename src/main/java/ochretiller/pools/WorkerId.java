package ochretiller.pools;

/**
 * Identifies a worker of a pool.
 *
 * @param name its address and port
 */
public record WorkerId(String name) {
    @Override
    public String toString() {
        return name;
    }
}

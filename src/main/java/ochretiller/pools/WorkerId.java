package ochretiller.pools;

/**
 * Identifies a worker of a pool.
 *
 * @param name the address and port, separated by a colon
 */
public record WorkerId(String name) {
    @Override
    public String toString() {
        return name;
    }
}

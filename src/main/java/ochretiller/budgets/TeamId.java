package ochretiller.budgets;

/**
 * Identifies a team.
 *
 * @param name the name of the team in its contract
 */
public record TeamId(String name) {
    @Override
    public String toString() {
        return name;
    }
}

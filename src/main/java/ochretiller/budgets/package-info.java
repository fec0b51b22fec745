/**
 * Decides how much of the capacity of a broker each team may use: guaranteed rates, bursts, sharing
 * of idle capacity by weight, debts and retries. The package has no sockets, clocks or threads:
 * time is passed in. {@code docs/budgets.md} gives the reasons.
 */
package ochretiller.budgets;

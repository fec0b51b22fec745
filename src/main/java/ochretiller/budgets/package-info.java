/**
 * Decisions on what each team may use of the work that a broker can do: promised parts, bursts,
 * what is idle lent by weight, debts, retries. No sockets, clocks or threads: time is handed in.
 * {@code docs/budgets.md} tells why.
 */
package ochretiller.budgets;

/**
 * Decisions on which version servers act on: the stages of a rollout, what halts it, who is shut
 * out for being behind, and a chain of what each server acted on. No I/O, no clock, no threads:
 * time, chance and bytes are handed in.
 */
package ochretiller.fleet.rollout;

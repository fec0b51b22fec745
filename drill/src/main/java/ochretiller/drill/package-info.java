/**
 * Drills, which run the emulator's fleet scenarios on several packaged servers with fake services.
 * They inject process and network faults, record a history of events and check only that history.
 */
package ochretiller.drill;

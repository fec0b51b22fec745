/**
 * Several packaged servers with their stand-ins, faults on them and between them, one history of it
 * all, and checkers that read nothing else. Scripts are those of the emulator's fleets.
 */
package ochretiller.drill;

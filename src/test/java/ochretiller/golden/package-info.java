/** Pins of what leaves the process: names and words that no rename of code may change. */
package ochretiller.golden;

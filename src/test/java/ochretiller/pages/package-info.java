/**
 * Tests of the documentation against the code: the classes, log lines, codes and metrics that a
 * page mentions must exist.
 */
package ochretiller.pages;

/**
 * Tests that hold the pages to the code: names of classes, log lines, codes and metrics that a page
 * names exist.
 */
package ochretiller.pages;

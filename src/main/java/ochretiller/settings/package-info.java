/** One reading of the settings of a start, whatever form they came in. */
package ochretiller.settings;

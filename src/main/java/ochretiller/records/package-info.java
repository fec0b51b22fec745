/** Calls to the records service: made, waited for with patience, given up. */
package ochretiller.records;

/** Plain values that the decisions are made on. */
package ochretiller.model;

/**
 * The operators' file: JSON5, checked against a schema, each fault named with its place. Without
 * one all in it is off.
 */
package ochretiller.operator;

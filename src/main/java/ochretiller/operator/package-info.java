/**
 * The operators' file and the folder of contracts: JSON5, checked against a schema; faults are
 * reported with their position. Without an operators' file all of its features are off.
 */
package ochretiller.operator;

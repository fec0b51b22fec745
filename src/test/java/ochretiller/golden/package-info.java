/** Tests that pin output and formats visible outside the process, which renames must not change. */
package ochretiller.golden;

/** The larger sub-commands of the command line; {@code Main} contains the short ones. */
package ochretiller.commands;

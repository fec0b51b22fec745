/**
 * A server's audit on disk: files of records, one behind the other, that nobody changes; {@code
 * docs/audit-format.md}.
 */
package ochretiller.audit.files;

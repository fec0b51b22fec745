/**
 * Decodes the settings that a server is started with.
 *
 * <p><b>Job.</b> {@link ochretiller.settings.SettingLookup} reads single settings by their path,
 * from the flat fields of the simulator's wire or from nested JSON ({@link
 * ochretiller.settings.JsonSettings}); {@link ochretiller.settings.Settings} makes operations and
 * an admission controller of them. No decision and no tuned value is here.
 *
 * <p><b>State and thread.</b> Lookups do not change once they are made; there is no other state and
 * no thread.
 *
 * <p><b>Neighbours.</b> Used by the hosts in {@code node}, {@code sim} and the emulator; builds on
 * {@code admission} and {@code model}.
 */
package ochretiller.settings;

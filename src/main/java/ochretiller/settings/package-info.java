/**
 * Decodes the startup settings of a server.
 *
 * <p><b>Purpose.</b> {@link ochretiller.settings.SettingLookup} looks up settings by path, from the
 * flat fields of the simulator protocol or from nested JSON ({@link
 * ochretiller.settings.JsonSettings}); {@link ochretiller.settings.Settings} creates operations and
 * an admission controller from them. This package makes no admission decisions.
 *
 * <p><b>State and thread.</b> Lookups are immutable; there is no other state and no thread.
 *
 * <p><b>Dependencies.</b> Used by the hosts in {@code node}, {@code sim} and the emulator; builds
 * on {@code admission} and {@code model}.
 */
package ochretiller.settings;

package ochretiller.fleet.members;

/**
 * What happened since the start; written by the thread that owns the view, read by another that may
 * see it a little late.
 */
public final class Counts {
    public long probes;
    public long missed;
    public long asked;
    public long suspected;
    public long refuted;
    public long silenced;
    public long returned;
    public long joined;
    public long left;
    public long syncs;
    public long syncsRefused;
    public long unknown;
    public long full;
    public long twins;
    public long lateTicks;
}

package ochretiller.admission;

import java.util.List;

/**
 * The slots of an execution site at one moment.
 *
 * @param site the site
 * @param limit how many runs it takes at once
 * @param running what occupies its slots
 */
record SiteLoad(ExecutionSite site, int limit, List<TrackedInvocation> running) {}

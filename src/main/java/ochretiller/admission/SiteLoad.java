package ochretiller.admission;

import java.util.List;

/**
 * The slots of an execution site at one moment.
 *
 * @param site the site
 * @param limit maximum number of concurrent runs
 * @param running the runs that occupy its slots
 */
record SiteLoad(ExecutionSite site, int limit, List<TrackedInvocation> running) {}

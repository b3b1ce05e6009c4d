/** Paths at which the platform and the workers call the system's processes. */

/** The balancer's health check of an entry. */
export const HEALTH_PATH = '/-/ready';
/** Workers report below it, by their id. */
export const WORKER_REPORT_PREFIX = '/-/instances/';

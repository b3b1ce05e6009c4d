/** HTTP paths on which the platform and workers call the fleet's processes. */

/** Path of the load balancer's health check of an entry. */
export const HEALTH_PATH = '/-/ready';
/** Prefix of the paths for worker reports, followed by the worker's id. */
export const WORKER_REPORT_PREFIX = '/-/instances/';

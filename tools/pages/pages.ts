import {eventsPage, resultCodesPage} from './event_and_code_pages.js';
import {cliPage} from './cli_page.js';
import {metricsPage} from './metrics_page.js';
import {settingsPage} from './settings_page.js';

/** Functions that generate pages from the code, by file. */
export const generatedPages: ReadonlyMap<string, () => string> = new Map([
  ['docs/SETTINGS.md', settingsPage],
  ['docs/EVENTS.md', eventsPage],
  ['docs/RESULT_CODES.md', resultCodesPage],
  ['docs/CLI.md', cliPage],
  ['docs/METRICS.md', metricsPage],
]);

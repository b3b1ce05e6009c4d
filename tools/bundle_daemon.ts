/**
 * Bundles the daemon and its imports into one file without white space: even an
 * idle process keeps the source of its modules in memory. Run by `npm run build`.
 */
import {build} from 'esbuild';

const COMPILED_DAEMON = 'build/src/daemon/burdockmoord.js';
const BUNDLE = 'build/burdockmoord.cjs';
/** Keeps the source line that Node prints for an uncaught error readable. */
const LINE_CHARACTERS = 160;

await build({
  entryPoints: [COMPILED_DAEMON],
  outfile: BUNDLE,
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  minifyWhitespace: true,
  lineLimit: LINE_CHARACTERS,
  legalComments: 'linked',
  logLevel: 'warning',
});

/**
 * Bundles the daemon and what it imports into one file, without white space:
 * an idle process keeps the text of all its modules. Run by `npm run build`.
 */
import {build} from 'esbuild';

const COMPILED_DAEMON = 'build/src/daemon/burdockmoord.js';
const BUNDLE = 'build/burdockmoord.cjs';
/** Keeps the line that Node quotes below an uncaught error readable. */
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

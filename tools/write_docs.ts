/**
 * Writes the pages generated from the code. Run it with `npm run docs` from the
 * root of the repository.
 */
import {writeFileSync} from 'node:fs';
import {generatedPages} from './pages/pages.js';

for (const [file, render] of generatedPages) {
  writeFileSync(file, render());
  console.log(`wrote ${file}`);
}

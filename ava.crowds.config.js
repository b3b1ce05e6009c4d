/** Tests that measure the memory of a process: one at a time. */
export default {
  files: ['build/tests/crowds/**/*.test.js'],
  workerThreads: false,
  timeout: '180s',
  concurrency: 1,
  serial: true,
  verbose: true,
};

export default {
  files: ['build/tests/**/*.test.js', '!build/tests/crowds/**'],
  workerThreads: false,
  timeout: '120s',
  concurrency: 5,
  verbose: true,
};

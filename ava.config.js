export default {
  files: ['build/tests/**/*.test.js'],
  workerThreads: false,
  timeout: '120s',
  concurrency: 5,
  verbose: true,
};

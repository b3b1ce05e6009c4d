/** Where a run stands: what the steps are about. */
export interface StepPlace {
  readonly entry?: string;
  readonly agent?: string;
}

/** The steps of the decisions at which faults can be injected. */
export const STEPS = [
  'heartbeat.request',
  'heartbeat.reply',
  'reportAttempts.request',
  'reportAttempts.reply',
  'startAttempts.request',
  'startAttempts.reply',
  'stopAttempts.request',
  'stopAttempts.reply',
  'queryAttempts.request',
  'queryAttempts.reply',
  'serve.request',
  'serve.reply',
  'forwardCall.request',
  'forwardCall.reply',
  'exchangePeers.request',
  'claim.before',
  'claim.after',
  'append.before',
  'append.after',
  'settings.before',
  'settings.after',
  'register.before',
  'keepAlive.before',
  'keepAlive.after',
  'workerStart.before',
  'workerStart.after',
  'workerRenew.before',
  'workerCheckpoint.before',
  'workerStop.before',
  'workerStop.after',
  'executorSend.before',
  'executorSend.after',
  'shutdown.begin',
] as const;
export type Step = (typeof STEPS)[number];

/** Hears of every step, before the process that takes it goes on. */
export interface StepHooks {
  reached(step: Step, place: StepPlace): void;
}

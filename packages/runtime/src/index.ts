/** Utilities shared by all packages. */
export { type Clock, ManualClock, systemClock } from "./clock.ts";
export { errorMessage, invariant, VError } from "./error.ts";
export {
  createEventLog,
  type EventLog,
  type EventLogOptions,
} from "./event_log.ts";
export { keepRunning, type KeepRunningOptions } from "./keep_running.ts";
export {
  listen,
  type ListenAddress,
  type ListenOptions,
  listenWhenFree,
} from "./listen.ts";
export { baseUrlOf } from "./listener_address.ts";
export { rankCandidates, rendezvousRank } from "./hash.ts";
export {
  createLogger,
  formatEvent,
  type LogFields,
  type Logger,
  type LogValue,
} from "./log.ts";
export { Mailbox } from "./mailbox.ts";
export { createRandom, jitter, type Random } from "./random.ts";
export {
  type RetryFailure,
  type RetryOptions,
  type RetryResult,
  retryUntilDone,
} from "./retry.ts";
export { matchSecret, Secret } from "./secret.ts";
export {
  surviveUnexpectedErrors,
  type UnexpectedErrorOptions,
} from "./unexpected_errors.ts";
export {
  aborted,
  childAbortController,
  deadlineSignal,
  MAX_DURATION_MS,
  MAX_TIMER_MS,
  runPeriodically,
  sleep,
} from "./wait.ts";

export {
  type CrashLog,
  type CrashLogChange,
  LocalCrashLog,
} from "./crash_log.ts";
export {
  RequestQuarantine,
  type RequestQuarantineOptions,
} from "./request_quarantine.ts";

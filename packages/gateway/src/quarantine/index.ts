export {
  type CrashLog,
  type CrashLogChange,
  LocalCrashLog,
} from "./crash_log.ts";
export {
  PromptQuarantine,
  type PromptQuarantineOptions,
} from "./prompt_quarantine.ts";

/** Settings errors that are detected only when the process starts. */
import type { Secret } from "@sassafrascleat/runtime";
import { loadSecrets, type SettingsIssue } from "./load_settings.ts";
import type { SecretRef } from "./settings.ts";

/** The settings can't be used; `issues` lists every error. */
export class SettingsError extends Error {
  readonly issues: readonly SettingsIssue[];

  constructor(issues: readonly SettingsIssue[]) {
    super(`${issues.length} error(s) in the settings`);
    this.name = "SettingsError";
    this.issues = issues;
  }
}

/** Reads secrets; throws a `SettingsError` that lists those without a value. */
export async function requireSecrets(
  refs: readonly SecretRef[],
  path: string,
): Promise<Secret[]> {
  const loaded = await loadSecrets(refs, path);
  if (!loaded.ok) throw new SettingsError(loaded.issues);
  return loaded.secrets;
}

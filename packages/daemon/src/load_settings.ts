/**
 * Reads and validates a settings file. Errors are returned, not thrown: each has
 * the path in the document, the value found there and the expected value.
 */
import { readFile } from "node:fs/promises";
import { errorMessage, Secret } from "@sassafrascleat/runtime";
import type { z } from "zod";
import {
  type ResolvedSettings,
  type SecretRef,
  settingsSchema,
} from "./settings.ts";

/** One error in a settings file. */
export interface SettingsIssue {
  /** Path in the document, for example `/callers/port`. */
  path: string;
  /** The value found, as JSON; "missing" if there is none. */
  value: string;
  expected: string;
}

/** Valid settings, or all errors in the file. */
export type LoadedSettings =
  | { ok: true; settings: ResolvedSettings }
  | { ok: false; issues: SettingsIssue[] };

/** Maximum length of a wrong value in a message, in characters. */
const MAX_VALUE_EXCERPT_CHARS = 80;

/** Prefix of zod's messages, removed to get the expected value. */
const ZOD_PREFIX = /^Invalid (input|option): (expected )?/;

function excerptAt(document: unknown, path: readonly PropertyKey[]): string {
  let value = document;
  for (const key of path) {
    if (typeof value !== "object" || value === null) return "missing";
    value = (value as Record<PropertyKey, unknown>)[key];
  }
  if (value === undefined) return "missing";
  return JSON.stringify(value).slice(0, MAX_VALUE_EXCERPT_CHARS);
}

function toIssue(document: unknown, issue: z.core.$ZodIssue): SettingsIssue {
  return {
    path: "/" + issue.path.map(String).join("/"),
    value: excerptAt(document, issue.path),
    expected: issue.message.replace(ZOD_PREFIX, ""),
  };
}

/** Checks a parsed settings document. */
export function resolveSettings(document: unknown): LoadedSettings {
  const parsed = settingsSchema.safeParse(document);
  if (parsed.success) return { ok: true, settings: parsed.data };
  const issues = parsed.error.issues.map((issue) => toIssue(document, issue));
  return { ok: false, issues };
}

/** Reads and checks the file at `path`. */
export async function loadSettings(path: string): Promise<LoadedSettings> {
  try {
    return resolveSettings(JSON.parse(await readFile(path, "utf8")));
  } catch (err) {
    const issue = {
      path: "/",
      value: path,
      expected: `a readable JSON file (${errorMessage(err)})`,
    };
    return { ok: false, issues: [issue] };
  }
}

/** Formats an issue as a human-readable line. */
export function formatIssue(issue: SettingsIssue): string {
  return `${issue.path}: found ${issue.value}; expected ${issue.expected}`;
}

/** The secrets, or an issue for each reference that could not be resolved. */
export type LoadedSecrets =
  | { ok: true; secrets: Secret[] }
  | { ok: false; issues: SettingsIssue[] };

async function readSecret(ref: SecretRef): Promise<string> {
  if (ref.env !== undefined) return (process.env[ref.env] ?? "").trim();
  const text = await readFile(ref.file ?? "", "utf8").catch(() => "");
  return text.trim();
}

/** Reads secrets from the environment and from files; an empty one is an issue. */
export async function loadSecrets(
  refs: readonly SecretRef[],
  path: string,
): Promise<LoadedSecrets> {
  const secrets: Secret[] = [];
  const issues: SettingsIssue[] = [];
  for (const [index, ref] of refs.entries()) {
    const value = await readSecret(ref);
    if (value) {
      secrets.push(new Secret(ref.name, value));
      continue;
    }
    const source = ref.env ? `environment variable ${ref.env}` : ref.file;
    issues.push({
      path: `${path}/${index}`,
      value: "an empty or unreadable secret",
      expected: `a secret in ${source}`,
    });
  }
  return issues.length > 0 ? { ok: false, issues } : { ok: true, secrets };
}

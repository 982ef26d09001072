/**
 * Reads and checks a settings file. Mistakes are values: each names the path
 * in the document, what stands there and what is expected.
 */
import { readFile } from "node:fs/promises";
import { errorMessage, Secret } from "@sassafrascleat/runtime";
import type { z } from "zod";
import {
  type ResolvedSettings,
  type SecretRef,
  settingsSchema,
} from "./settings.ts";

/** One mistake in a settings file. */
export interface SettingsIssue {
  /** Place in the document, for example `/callers/port`. */
  path: string;
  /** What stands there, as JSON; "missing" when nothing does. */
  value: string;
  expected: string;
}

/** A checked file, or everything that is wrong with it. */
export type LoadedSettings =
  | { ok: true; settings: ResolvedSettings }
  | { ok: false; issues: SettingsIssue[] };

/** Longest excerpt of a wrong value in a message, in characters. */
const MAX_VALUE_EXCERPT_CHARS = 80;

/** What the schema library puts before the expectation. */
const ZOD_PREFIX = /^Invalid (input|option): (expected )?/;

function valueAt(document: unknown, path: readonly PropertyKey[]): string {
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
    value: valueAt(document, issue.path),
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

/** Formats an issue for a person. */
export function formatIssue(issue: SettingsIssue): string {
  return `${issue.path}: found ${issue.value}; expected ${issue.expected}`;
}

/** Secrets by their references, or the references that could not be read. */
export type LoadedSecrets =
  | { ok: true; secrets: Secret[] }
  | { ok: false; issues: SettingsIssue[] };

async function readSecret(ref: SecretRef): Promise<string> {
  if (ref.env !== undefined) return (process.env[ref.env] ?? "").trim();
  const text = await readFile(ref.file ?? "", "utf8").catch(() => "");
  return text.trim();
}

/** Reads secrets from the environment and from files; empty ones are refused. */
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

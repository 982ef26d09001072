/**
 * Finds out which prompt parts crash engines. An engine that crashes takes
 * several requests with it, each with several parts, and most of them are
 * harmless. A part is held to be the cause if it was present at more than one
 * crash and no request with it has run since. Parts that were present at the
 * same crashes can't be told apart: only a request with all of them is known to
 * be harmful, and a request with some of them shows which ones are harmless.
 */

/** The requests that an engine had received but not begun when it crashed. */
export interface CrashRecord {
  /** Incarnation of the engine. */
  engine: string;
  /** Keys of those parts of the requests that may have caused the crash. */
  parts: readonly string[];
}

/** Parts that together are held to be the cause of crashes. */
export interface CrashCause {
  parts: readonly string[];
  crashes: readonly CrashRecord[];
}

/** One crash may be a coincidence: requests are also lost with sick engines. */
const MIN_CRASHES = 2;

/**
 * Returns the causes of the recorded crashes. A crash is attributed to the parts
 * that explain the most crashes, and only what they leave unexplained is
 * attributed to other parts.
 */
export function findCrashCauses(records: readonly CrashRecord[]): CrashCause[] {
  const causes: CrashCause[] = [];
  let unexplained = records;
  while (true) {
    const cause = commonestCause(unexplained);
    if (!cause) return causes;
    causes.push(cause);
    unexplained = unexplained.filter((item) => !cause.crashes.includes(item));
  }
}

/** True if a request with `parts` has all parts of the cause. */
export function hasAllParts(
  parts: ReadonlySet<string>,
  cause: CrashCause,
): boolean {
  return cause.parts.every((part) => parts.has(part));
}

function commonestCause(
  records: readonly CrashRecord[],
): CrashCause | undefined {
  const crashesOf = groupByPart(records);
  let crashes: readonly CrashRecord[] = [];
  for (const candidate of crashesOf.values()) {
    if (candidate.length > crashes.length) crashes = candidate;
  }
  if (crashes.length < MIN_CRASHES) return undefined;
  const parts = [...crashesOf.keys()].filter((part) =>
    isSameList(crashesOf.get(part) ?? [], crashes)
  );
  return { parts, crashes };
}

function groupByPart(
  records: readonly CrashRecord[],
): Map<string, CrashRecord[]> {
  const crashesOf = new Map<string, CrashRecord[]>();
  for (const record of records) {
    for (const part of record.parts) {
      const crashes = crashesOf.get(part) ?? [];
      crashesOf.set(part, crashes);
      crashes.push(record);
    }
  }
  return crashesOf;
}

function isSameList(
  a: readonly CrashRecord[],
  b: readonly CrashRecord[],
): boolean {
  return a.length === b.length && a.every((item, index) => item === b[index]);
}

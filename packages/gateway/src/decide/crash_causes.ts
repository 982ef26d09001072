/**
 * Finds out which requests crash backend servers. One that crashes takes several
 * requests with it, and most of them are harmless. What may be harmful about a
 * request is a part of its prompt or the request as a whole; each has a key. A
 * key is held to be the cause if it was present at more than one crash and no
 * request with it has run since. Keys that were present at the same crashes
 * can't be told apart: only a request with all of those that one of the lost
 * requests had is known to be harmful, and a request with some of them shows
 * which ones are harmless.
 */

/** A request that a backend server had not finished when it crashed. */
export interface CrashRecord {
  /** Incarnation of the backend server. */
  engine: string;
  /** Keys of what may have caused the crash. */
  keys: readonly string[];
}

/** What is held to be the cause of some crashes. */
export interface CrashCause {
  /** Requests with all keys of one of these combinations are harmful. */
  combinations: readonly (readonly string[])[];
  /** Incarnations of the backend servers that crashed. */
  engines: readonly string[];
}

/** One crash may be a coincidence: requests are also lost with sick servers. */
const MIN_CRASHES = 2;

/**
 * Returns the causes of the recorded crashes. A crash is attributed to the keys
 * that explain the most crashes, and only what they leave unexplained is
 * attributed to other keys.
 */
export function findCrashCauses(records: readonly CrashRecord[]): CrashCause[] {
  const causes: CrashCause[] = [];
  let unexplained = records;
  while (true) {
    const cause = commonestCause(unexplained);
    if (!cause) return causes;
    causes.push(cause);
    const explained = new Set(cause.engines);
    unexplained = unexplained.filter((item) => !explained.has(item.engine));
  }
}

/** True if a request with these keys is harmful. */
export function isHarmful(
  keys: ReadonlySet<string>,
  { combinations }: CrashCause,
): boolean {
  return combinations.some((item) => item.every((key) => keys.has(key)));
}

function commonestCause(
  records: readonly CrashRecord[],
): CrashCause | undefined {
  const enginesOf = groupByKey(records);
  let engines: ReadonlySet<string> = new Set();
  for (const candidate of enginesOf.values()) {
    if (candidate.size > engines.size) engines = candidate;
  }
  if (engines.size < MIN_CRASHES) return undefined;
  const suspected = new Set(
    [...enginesOf.keys()].filter((key) =>
      isSameSet(enginesOf.get(key) ?? new Set(), engines)
    ),
  );
  const combinations = records
    .map((item) => item.keys.filter((key) => suspected.has(key)))
    .filter((keys) => keys.length > 0);
  return {
    combinations: largestCombinations(combinations),
    engines: [...engines],
  };
}

/** Crashed servers at which a request with the key was present, by key. */
function groupByKey(
  records: readonly CrashRecord[],
): Map<string, Set<string>> {
  const enginesOf = new Map<string, Set<string>>();
  for (const { engine, keys } of records) {
    for (const key of keys) {
      const engines = enginesOf.get(key) ?? new Set();
      enginesOf.set(key, engines.add(engine));
    }
  }
  return enginesOf;
}

/** Drops repeated combinations, and those that another one includes. */
function largestCombinations(
  combinations: readonly (readonly string[])[],
): readonly (readonly string[])[] {
  const largest: string[][] = [];
  const byLength = [...combinations].sort((a, b) => b.length - a.length);
  for (const keys of byLength) {
    const included = largest.some((other) =>
      keys.every((key) => other.includes(key))
    );
    if (!included) largest.push([...keys]);
  }
  return largest;
}

function isSameSet(a: ReadonlySet<string>, b: ReadonlySet<string>): boolean {
  return a.size === b.size && [...a].every((item) => b.has(item));
}

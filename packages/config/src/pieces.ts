/**
 * Splits documents that exceed the size limit of one store value into pieces.
 */

/**
 * Splits `items` into runs of consecutive items, each with at most `maxBytes`
 * of JSON. An item that exceeds `maxBytes` by itself gets a run of its own.
 */
export function splitItems<T>(items: readonly T[], maxBytes: number): T[][] {
  const runs: T[][] = [];
  let run: T[] = [];
  let runBytes = 0;
  for (const item of items) {
    const bytes = Buffer.byteLength(JSON.stringify(item)) + 1;
    if (run.length > 0 && runBytes + bytes > maxBytes) {
      runs.push(run);
      run = [];
      runBytes = 0;
    }
    run.push(item);
    runBytes += bytes;
  }
  if (run.length > 0) runs.push(run);
  return runs;
}

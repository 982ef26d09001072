/** What is wrong with a proposed object, for the operator to mend. */

/** One error; a check returns every error at once. */
export interface Issue {
  /** JSON pointer into the object, or into the patch's operations. */
  path: string;
  /** The value that is there now. */
  value: unknown;
  /** The form that the value should have. */
  expected: string;
}

/** A JSON pointer from path segments. */
export function toJsonPointer(segments: readonly PropertyKey[]): string {
  return segments
    .map((part) => String(part).replaceAll("~", "~0").replaceAll("/", "~1"))
    .map((part) => `/${part}`)
    .join("");
}

/** One line for each issue. */
export function formatIssues(issues: readonly Issue[]): string {
  return issues
    .map(({ path, value, expected }) =>
      `${path || "/"}: ${JSON.stringify(value) ?? "missing"}; ` +
      `expected ${expected}`
    )
    .join("\n");
}

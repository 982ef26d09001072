/**
 * Validation errors of a proposed object, with what the operator needs to fix
 * them.
 */

/** One validation error. A check reports all errors, not only the first. */
export interface Issue {
  /** JSON pointer into the object or into the patch's operations. */
  path: string;
  /** The value found at `path`. */
  value: unknown;
  /** Description of a valid value. */
  expected: string;
}

/** Builds a JSON pointer (RFC 6901) from path segments. */
export function toJsonPointer(segments: readonly PropertyKey[]): string {
  return segments
    .map((part) => String(part).replaceAll("~", "~0").replaceAll("/", "~1"))
    .map((part) => `/${part}`)
    .join("");
}

/** Formats issues as text, one line per issue. */
export function formatIssues(issues: readonly Issue[]): string {
  return issues
    .map(({ path, value, expected }) =>
      `${path || "/"}: ${JSON.stringify(value) ?? "missing"}; ` +
      `expected ${expected}`
    )
    .join("\n");
}

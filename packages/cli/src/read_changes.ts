/** Reads change documents from a file or from standard input. */
import {
  type ChangeDocument,
  changeDocumentSchema,
  formatIssues,
  issuesFromZodError,
} from "@sassafrascleat/config";
import { errorMessage } from "@sassafrascleat/runtime";
import { readText, STANDARD_INPUT } from "./read_text.ts";

/** The change documents, or a message that says what is wrong with the file. */
export type ReadChangesResult =
  | { ok: true; changes: ChangeDocument[]; isList: boolean }
  | { ok: false; message: string };

function readFailure(message: string): ReadChangesResult {
  return { ok: false, message };
}

function parse(raw: unknown): ReadChangesResult {
  const isList = Array.isArray(raw);
  const documents: unknown[] = isList ? raw : [raw];
  if (documents.length === 0) {
    return readFailure("the file contains no change document");
  }
  const changes: ChangeDocument[] = [];
  const problems: string[] = [];
  for (const [index, document] of documents.entries()) {
    const result = changeDocumentSchema.safeParse(document);
    if (result.success) changes.push(result.data);
    else {
      const issues = formatIssues(issuesFromZodError(document, result.error));
      problems.push(isList ? `change ${index + 1}:\n${issues}` : issues);
    }
  }
  if (problems.length === 0) return { ok: true, changes, isList };
  return readFailure(
    `the file is not a valid change document:\n${problems.join("\n")}`,
  );
}

/** Reads one change document or a list of them; `-` is standard input. */
export async function readChanges(path: string): Promise<ReadChangesResult> {
  try {
    return parse(JSON.parse(await readText(path)));
  } catch (err) {
    const name = path === STANDARD_INPUT ? "standard input" : path;
    return readFailure(`${name} can't be read as JSON: ${errorMessage(err)}`);
  }
}

/** Reads change documents from a file or from standard input. */
import {
  type ChangeDocument,
  changeDocumentSchema,
  formatIssues,
  toIssues,
} from "@sassafrascleat/config";
import { errorMessage } from "@sassafrascleat/runtime";
import { readText, STANDARD_INPUT } from "./read_text.ts";

/** The documents, or what to change in the file. */
export type ReadChanges =
  | { ok: true; changes: ChangeDocument[]; isList: boolean }
  | { ok: false; message: string };

function refuse(message: string): ReadChanges {
  return { ok: false, message };
}

function parse(raw: unknown): ReadChanges {
  const isList = Array.isArray(raw);
  const documents: unknown[] = isList ? raw : [raw];
  if (documents.length === 0) return refuse("the file holds no change");
  const changes: ChangeDocument[] = [];
  const problems: string[] = [];
  for (const [index, document] of documents.entries()) {
    const result = changeDocumentSchema.safeParse(document);
    if (result.success) changes.push(result.data);
    else {
      const issues = formatIssues(toIssues(document, result.error));
      problems.push(isList ? `change ${index + 1}:\n${issues}` : issues);
    }
  }
  if (problems.length === 0) return { ok: true, changes, isList };
  return refuse(`the file is no change document:\n${problems.join("\n")}`);
}

/** Reads one change document or a list of them; `-` is standard input. */
export async function readChanges(path: string): Promise<ReadChanges> {
  try {
    return parse(JSON.parse(await readText(path)));
  } catch (err) {
    const name = path === STANDARD_INPUT ? "standard input" : path;
    return refuse(`${name} can't be read as JSON: ${errorMessage(err)}`);
  }
}

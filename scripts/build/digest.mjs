/** A digest of the names and contents of everything in a folder. */
import { createHash } from "node:crypto";
import { readdirSync, readFileSync, readlinkSync } from "node:fs";
import { join } from "node:path";

/** Leaves out the file `except`, a name within `folder`. */
export function digestFolder(folder, except) {
  const hash = createHash("sha256");
  for (const { path, entry } of entriesOf(folder)) {
    const name = path.slice(folder.length + 1);
    if (name === except) continue;
    const content = entry.isSymbolicLink()
      ? readlinkSync(path)
      : readFileSync(path);
    hash.update(`${name}\n${content.length}\n`).update(content);
  }
  return hash.digest("hex");
}

function* entriesOf(folder) {
  const entries = readdirSync(folder, { withFileTypes: true });
  entries.sort((a, b) => a.name < b.name ? -1 : 1);
  for (const entry of entries) {
    const path = join(folder, entry.name);
    if (entry.isDirectory()) yield* entriesOf(path);
    else yield { path, entry };
  }
}

/**
 * Checks that the packages of some workspaces are those that they declare. Of an
 * installation that was carried over in part, a bundler takes another version of a
 * package from an outer folder, and the program fails only when it starts.
 */
import { existsSync, readFileSync } from "node:fs";
import { join } from "node:path";

/** Throws an error that names the first package of another version. */
export function checkPackages(root, workspaces) {
  for (const workspace of workspaces) {
    const { dependencies, devDependencies } = readPackage(
      join(root, workspace),
    );
    const needed = { ...dependencies, ...devDependencies };
    for (const [name, wanted] of Object.entries(needed)) {
      const folders = [join(root, workspace), root];
      const found = folders
        .map((folder) => join(folder, "node_modules", name))
        .find((folder) => existsSync(join(folder, "package.json")));
      const version = found && readPackage(found).version;
      if (version === wanted) continue;
      throw new Error(`${workspace} needs ${name} ${wanted}, not ${version}`);
    }
  }
}

function readPackage(folder) {
  return JSON.parse(readFileSync(join(folder, "package.json"), "utf8"));
}

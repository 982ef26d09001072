/** Has the bundler take packages from one folder of installed packages alone. */
import { join, relative, resolve, sep } from "node:path";
import { PROGRAM_WORKSPACES } from "./workspaces.mjs";

/** A name of a package, of this repository or another. */
const PACKAGE_NAME = /^[^./]/;
const OWN_PACKAGE = /^@sassafrascleat\//;
/**
 * Optional packages that libraries look for and the program does without. What an
 * installation for other purposes holds must not change the program.
 */
const ABSENT_PACKAGE = /^supports-color$/;
const ABSENT = "absent-package";

/**
 * Resolves what a workspace of the repository imports as if the workspace stood
 * in `folder`, which has the layout of the repository.
 */
export function packagesOf(folder) {
  return {
    name: "packages-of-folder",
    setup(build) {
      build.onResolve(
        { filter: ABSENT_PACKAGE },
        ({ path }) => ({ path, namespace: ABSENT }),
      );
      build.onLoad(
        { filter: ABSENT_PACKAGE, namespace: ABSENT },
        () => ({ contents: "module.exports = undefined;" }),
      );
      build.onResolve({ filter: PACKAGE_NAME }, (args) => {
        const workspace = workspaceOf(args.importer);
        if (workspace === undefined) return undefined;
        if (OWN_PACKAGE.test(args.path)) return undefined;
        return build.resolve(args.path, {
          importer: "packages-of-folder",
          kind: args.kind,
          resolveDir: join(folder, workspace),
        });
      });
    },
  };
}

/** Throws an error that names a package which was taken from elsewhere. */
export function requirePackagesOf(folder, { inputs }) {
  const outside = Object.keys(inputs)
    .filter((path) => path.split("/").includes("node_modules"))
    .find((path) => !resolve(path).startsWith(folder + sep));
  if (outside === undefined) return;
  throw new Error(`${outside} is bundled in place of a package in ${folder}`);
}

function workspaceOf(importer) {
  const path = relative(".", importer);
  return PROGRAM_WORKSPACES.find((name) =>
    path.startsWith(join(name, "src") + sep)
  );
}

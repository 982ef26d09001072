/**
 * Bundles the router's program under target/: a short file that registers the
 * signals, and one with all the rest, whose name has a hash that differs between
 * programs. The argument is the folder of the installed packages, in the layout of
 * the repository, whose root is the default.
 */
import { realpathSync } from "node:fs";
import { createRequire } from "node:module";
import { basename, join } from "node:path";
import { fileURLToPath } from "node:url";
import { writeOutputs } from "./build/outputs.mjs";
import { packagesOf, requirePackagesOf } from "./build/resolve.mjs";
import { PROGRAM_WORKSPACES } from "./build/workspaces.mjs";
import { checkPackages } from "./check_packages.mjs";

const PACKAGES = realpathSync(process.argv[2] ?? ".");
const ASSERT = fileURLToPath(new URL("assert.cjs", import.meta.url));

/** Has every package use the assertions of assert.cjs. */
const constantAssertions = {
  name: "constant-assertions",
  setup({ onResolve }) {
    onResolve(
      { filter: /^(node:)?assert(\/strict)?$/ },
      ({ importer }) =>
        importer === ASSERT
          ? { path: "node:assert", external: true }
          : { path: ASSERT },
    );
  },
};

checkPackages(PACKAGES, PROGRAM_WORKSPACES);
const { build } = createRequire(join(PACKAGES, "package.json"))("esbuild-wasm");

/** Has the entry point load `file` as its program. */
function programIn(file) {
  return {
    name: "program",
    setup({ onResolve }) {
      onResolve(
        { filter: /^\.\/program\.ts$/ },
        () => ({ path: `./${file}`, external: true }),
      );
    },
  };
}

/** Bundles one module as CommonJS, which Node.js starts and loads faster. */
async function bundle(entryPoint, entryNames, plugins) {
  const { metafile, outputFiles: [file] } = await build({
    write: false,
    metafile: true,
    entryPoints: [entryPoint],
    outdir: "target",
    outExtension: { ".js": ".cjs" },
    entryNames,
    bundle: true,
    platform: "node",
    target: "node20",
    format: "cjs",
    // A module that could not be imported can't be imported again.
    supported: { "dynamic-import": false },
    minify: true,
    keepNames: false,
    plugins: [...plugins, packagesOf(PACKAGES)],
    alias: Object.fromEntries(
      ["runtime", "gateway"].map((name) => [
        `@sassafrascleat/${name}`,
        `./packages/${name}/src/index.ts`,
      ]),
    ),
  });
  requirePackagesOf(PACKAGES, metafile);
  return file;
}

// An entry point finds its own program, whatever is built later.
const program = await bundle(
  "platform/src/program.ts",
  "program-[hash]",
  [constantAssertions],
);
const entry = await bundle(
  "platform/src/main.ts",
  "router",
  [programIn(basename(program.path))],
);

writeOutputs([program, entry]);

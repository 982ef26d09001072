/**
 * Bundles the router's program under target/: a short file that registers the
 * signals, and one with all the rest, whose name has the hash of its content.
 */
import { build } from "esbuild";
import { mkdirSync, renameSync, writeFileSync } from "node:fs";
import { basename, dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { checkPackages } from "./check_packages.mjs";

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

checkPackages(".", ["packages/runtime", "packages/gateway", "platform"]);

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
  const { outputFiles: [file] } = await build({
    write: false,
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
    plugins,
    alias: Object.fromEntries(
      ["runtime", "gateway"].map((name) => [
        `@sassafrascleat/${name}`,
        `./packages/${name}/src/index.ts`,
      ]),
    ),
  });
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

// A process that starts meanwhile finds whole files.
for (const { path, contents } of [program, entry]) {
  const unfinished = `${path}.${process.pid}`;
  mkdirSync(dirname(path), { recursive: true });
  writeFileSync(unfinished, contents);
  renameSync(unfinished, path);
}

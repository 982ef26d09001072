/**
 * Bundles the router's program under target/: a short file that registers the
 * signals, and one with all the rest, so that startup reads and parses no unused
 * code. Its argument is the folder of the installed packages, in the layout of the
 * repository, whose root is the default.
 */
import { realpathSync } from "node:fs";
import { createRequire } from "node:module";
import { join } from "node:path";
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

const { metafile, outputFiles } = await build({
  write: false,
  metafile: true,
  entryPoints: ["platform/src/main.ts"],
  outdir: "target",
  outExtension: { ".js": ".mjs" },
  entryNames: "router",
  chunkNames: "[name]-[hash]",
  bundle: true,
  splitting: true,
  platform: "node",
  target: "node20",
  format: "esm",
  minify: true,
  keepNames: false,
  plugins: [constantAssertions, packagesOf(PACKAGES)],
  alias: Object.fromEntries(
    ["runtime", "gateway"].map((name) => [
      `@sassafrascleat/${name}`,
      `./packages/${name}/src/index.ts`,
    ]),
  ),
  // Bundled CommonJS packages call `require` for Node.js built-in modules.
  banner: {
    js:
      'import{createRequire as r}from"node:module";const require=r(import.meta.url);',
  },
});

requirePackagesOf(PACKAGES, metafile);
writeOutputs(outputFiles);

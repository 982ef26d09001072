/**
 * Bundles the router's program under target/: a short file that registers the
 * signals, and one with all the rest, so that startup reads and parses no unused
 * code.
 */
import { build } from "esbuild";
import { fileURLToPath } from "node:url";
import { writeOutputs } from "./build/outputs.mjs";
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

const { outputFiles } = await build({
  write: false,
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
  plugins: [constantAssertions],
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

writeOutputs(outputFiles);

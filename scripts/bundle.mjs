/**
 * Bundles the router's program into one file under target/, so that a start
 * reads and parses one file and nothing that it doesn't use.
 */
import { build } from "esbuild";

await build({
  entryPoints: ["platform/src/main.ts"],
  outfile: "target/router.mjs",
  bundle: true,
  platform: "node",
  target: "node20",
  format: "esm",
  minify: true,
  keepNames: false,
  alias: Object.fromEntries(
    ["runtime", "gateway"].map((name) => [
      `@sassafrascleat/${name}`,
      `./packages/${name}/src/index.ts`,
    ]),
  ),
  // Bundled CommonJS packages call `require` for Node.js's own modules.
  banner: {
    js:
      'import{createRequire as r}from"node:module";const require=r(import.meta.url);',
  },
});

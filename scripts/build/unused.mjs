/**
 * Removes what earlier builds have left under target/build: folders of builds that
 * were killed, and packages of other commits that no build has used for long.
 */
import { readdirSync, rmSync, statSync } from "node:fs";
import { join } from "node:path";

/** How the name of a folder begins in which a build is at work. */
export const UNFINISHED = "unfinished-";
/** A build is over after this time, finished or not. */
const BUILD_MS = 60 * 60_000;
/** Packages may be kept for a build of another commit for this time. */
const KEPT_MS = 24 * 60 * 60_000;

/** Removes what is unused in `base`, but never `needed`. */
export function removeUnused(base, needed) {
  for (const name of readdirSync(base)) {
    const path = join(base, name);
    if (path === needed) continue;
    removeIfOlder(path, name.startsWith(UNFINISHED) ? BUILD_MS : KEPT_MS);
  }
}

/** Removes a file or folder that was written longer ago than `keptMs`. */
export function removeIfOlder(path, keptMs) {
  try {
    const ageMs = Date.now() - statSync(path).mtimeMs;
    if (ageMs > keptMs) rmSync(path, { recursive: true, force: true });
  } catch (err) {
    // Another build may be removing it, too.
    if (err.code === "ENOENT") return;
    console.error(`build: ${path} can't be removed: ${err.message}`);
  }
}

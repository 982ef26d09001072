/**
 * The installed packages of the program, in a folder under target/ whose name is a
 * hash of all that decides what is installed. A build installs in a folder of its
 * own and renames it when it is whole, so that builds at the same time, or one that
 * is killed, leave each other's packages alone; a later build needs no network.
 */
import { createHash } from "node:crypto";
import {
  copyFileSync,
  existsSync,
  mkdirSync,
  mkdtempSync,
  readFileSync,
  renameSync,
  rmSync,
  utimesSync,
  writeFileSync,
} from "node:fs";
import { dirname, join } from "node:path";
import { digestFolder } from "./digest.mjs";
import { install } from "./install.mjs";
import { removeUnused, UNFINISHED } from "./unused.mjs";

const LOCK = "package-lock.json";
/** Within a folder of packages, the digest of all the rest. */
const DIGEST = "digest.txt";

/** The folder of all packages that the program needs, installed if need be. */
export async function preparePackages(root) {
  const base = join(root, "target", "build");
  mkdirSync(base, { recursive: true });
  const manifests = manifestsOf(root);
  const published = join(base, `packages-${hashOf(root, manifests)}`);
  removeUnused(base, published);
  if (!isComplete(published)) await publishNew(root, manifests, published);
  markUsed(published);
  return published;
}

/** Whether everything is there as it was installed. */
function isComplete(folder) {
  const path = join(folder, DIGEST);
  if (!existsSync(path)) return false;
  return readFileSync(path, "utf8") === digestFolder(folder, DIGEST);
}

/** The files that npm reads: the lock file and all that it was made from. */
function manifestsOf(root) {
  const { packages } = JSON.parse(readFileSync(join(root, LOCK), "utf8"));
  const workspaces = Object.keys(packages)
    .filter((path) => !path.includes("node_modules"));
  const manifests = workspaces.map((path) => join(path, "package.json"));
  const userConfig = existsSync(join(root, ".npmrc")) ? [".npmrc"] : [];
  return [LOCK, ...manifests, ...userConfig];
}

function hashOf(root, manifests) {
  const hash = createHash("sha256");
  hash.update(`${process.platform} ${process.arch}`);
  for (const path of manifests) {
    hash.update(`\n${path}\n`).update(readFileSync(join(root, path)));
  }
  return hash.digest("hex").slice(0, 16);
}

async function publishNew(root, manifests, published) {
  const own = mkdtempSync(join(dirname(published), UNFINISHED));
  try {
    const folder = join(own, "packages");
    for (const path of manifests) copy(join(root, path), join(folder, path));
    console.error("build: installing the packages of the program");
    await install(folder, own);
    writeFileSync(join(folder, DIGEST), digestFolder(folder, DIGEST));
    publish(folder, published, join(own, "replaced"));
  } finally {
    rmSync(own, { recursive: true, force: true });
  }
}

function copy(from, to) {
  mkdirSync(dirname(to), { recursive: true });
  copyFileSync(from, to);
}

/** Gives `folder` its final name, unless another build has published meanwhile. */
function publish(folder, published, replaced) {
  if (isComplete(published)) return;
  if (existsSync(published)) renameSync(published, replaced);
  try {
    renameSync(folder, published);
  } catch (err) {
    if (!isComplete(published)) throw err;
  }
}

/** Keeps a folder from being removed as unused. */
function markUsed(folder) {
  const now = new Date();
  try {
    utimesSync(folder, now, now);
  } catch (err) {
    console.error(
      `build: the packages can't be marked as used: ${err.message}`,
    );
  }
}

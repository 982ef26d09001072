/**
 * Writes the files of a bundle, while processes may start from the last one: each
 * file is whole, and an entry point finds the chunks that it was built with, since
 * their names hold a hash and older ones stay for a while.
 */
import { randomBytes } from "node:crypto";
import { mkdirSync, readdirSync, renameSync, writeFileSync } from "node:fs";
import { basename, dirname, join } from "node:path";
import { removeIfOlder } from "./unused.mjs";

const CHUNK = /-[A-Z0-9]{8}\.[cm]?js$/;
/** What a build leaves that was killed while it wrote. */
const UNFINISHED = /\.[cm]?js\.[0-9a-f]{8}$/;
/** A process has loaded all its chunks this long after its start. */
const KEPT_MS = 60 * 60_000;

/** Writes chunks first, so that an entry point never comes before its own. */
export function writeOutputs(outputFiles) {
  const chunks = outputFiles.filter(({ path }) => CHUNK.test(path));
  const entries = outputFiles.filter(({ path }) => !CHUNK.test(path));
  for (const { path, contents } of [...chunks, ...entries]) {
    writeWhole(path, contents);
  }
  removeOld(outputFiles.map(({ path }) => path));
}

function writeWhole(path, contents) {
  const unfinished = `${path}.${randomBytes(4).toString("hex")}`;
  mkdirSync(dirname(path), { recursive: true });
  writeFileSync(unfinished, contents);
  renameSync(unfinished, path);
}

function removeOld(written) {
  const folder = dirname(written[0]);
  const names = written.map((path) => basename(path));
  const old = readdirSync(folder)
    .filter((name) => CHUNK.test(name) || UNFINISHED.test(name))
    .filter((name) => !names.includes(name))
    .map((name) => join(folder, name));
  for (const path of old) removeIfOlder(path, KEPT_MS);
}

import { expect, test } from "@jest/globals";
import { createRandom, ManualClock } from "@sassafrascleat/runtime";
import { type Backend, BackendState } from "../../backends/backend.ts";
import { BackendDirectory } from "../../backends/directory.ts";
import { DefaultVersionKeeper } from "../default_versions.ts";
import { ListedVersions } from "../listed_versions.ts";
import { LocalVersionLog } from "../local_version_log.ts";

const RETAIN_MS = 30_000;
const BACKEND: Backend = {
  id: "i-1",
  service: "llm",
  address: "127.0.0.1:1",
  zone: "",
  slots: 1,
  state: BackendState.Ready,
  version: "1",
};

test("a service that has lost its streams has no changes due", () => {
  const clock = new ManualClock();
  const log = () => {};
  const directory = new BackendDirectory({ clock, log });
  const services = new Set(["llm"]);
  const versionLog = new LocalVersionLog(() => {});
  const keeper = new DefaultVersionKeeper({
    clock,
    log,
    random: createRandom(1),
    listed: new ListedVersions({ clock, directory, retainMs: RETAIN_MS }),
    versionLog: () => versionLog,
    services: () => services,
    retainMs: RETAIN_MS,
  });
  keeper.observe({ versions: new Map(), complete: true });
  directory.reset([BACKEND]);
  directory.markStoreReachable();
  keeper.check();
  services.clear();
  clock.advance(5_000);
  expect(keeper.check()).toBeGreaterThan(100);
});

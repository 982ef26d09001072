/** Runs the examples in docs/examples/embed and checks their results. */
import { expect, test } from "@jest/globals";

/** Exports of each example. */
interface Example {
  run(): unknown;
}

async function load(name: string): Promise<Example> {
  const path = `../../../../docs/examples/embed/${name}.mjs`;
  return await import(new URL(path, import.meta.url).href);
}

test("routing: the backend server with free slots is tried first", async () => {
  const { run } = await load("routing");
  expect(run()).toMatchObject([{ name: "idle" }, { name: "busy" }]);
});

test("config: a patch on another version is outdated", async () => {
  const { run } = await load("config");
  expect(await run()).toEqual({
    outcomes: ["accepted", "accepted", "outdated"],
    authors: ["ada", "ada"],
  });
});

test("relay: a change accepted at one daemon is in force at the other", async () => {
  const { run } = await load("relay");
  expect(await run()).toBe(1);
});

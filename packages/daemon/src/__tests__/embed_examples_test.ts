/** The examples of embedding in docs/examples/embed run and do as they say. */
import { expect, test } from "@jest/globals";

/** What each example exports. */
interface Example {
  run(): unknown;
}

async function load(name: string): Promise<Example> {
  const path = `../../../../docs/examples/embed/${name}.mjs`;
  return await import(new URL(path, import.meta.url).href);
}

test("routing: the backend server with free places is asked first", async () => {
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

/** The settings file: schema, defaults, errors and secrets. */
import { afterEach, describe, expect, test } from "@jest/globals";
import { readFileSync } from "node:fs";
import { formatIssue, loadSecrets, resolveSettings } from "../load_settings.ts";
import { settingsJsonSchema } from "../settings.ts";

const ENTRY = {
  role: "entry",
  id: "entry-1",
  office: "carolinas",
  availabilityZone: "gastonia",
  callers: { port: 8080 },
  operators: { port: 8081 },
  system: { port: 8082 },
  systemSecrets: [{ name: "current", env: "SYSTEM_SECRET" }],
  operatorSecrets: [{ name: "ada", file: "/run/secrets/ada" }],
  store: { baseUrl: "http://10.0.0.1:80" },
  hostsBaseUrl: "http://10.0.0.1:80",
};

test("defaults are filled into an entry's settings", () => {
  const loaded = resolveSettings(ENTRY);
  expect(loaded).toMatchObject({
    ok: true,
    settings: { peers: [], callers: { host: "127.0.0.1" } },
  });
});

test("all errors are reported at once, with path, value and expectation", () => {
  const loaded = resolveSettings({
    ...ENTRY,
    callers: { port: 99_999 },
    store: { baseUrl: "ftp://store" },
    systemSecrets: [{ name: "both", env: "A", file: "/b" }],
    colour: "green",
  });
  const lines = loaded.ok ? [] : loaded.issues.map(formatIssue);
  expect(lines).toHaveLength(4);
  const text = lines.join("\n");
  expect(text).toMatch(/^\/callers\/port: found 99999; expected .*65535/m);
  expect(text).toMatch(
    /^\/store\/baseUrl: found "ftp:\/\/store"; expected http/m,
  );
  expect(text).toMatch(/exactly one of env and file/);
  expect(text).toMatch(/colour/);
});

test("an unknown role is reported", () => {
  const loaded = resolveSettings({ role: "gateway" });
  expect(loaded.ok ? "" : loaded.issues.map(formatIssue).join()).toMatch(
    /role/,
  );
});

test("the committed JSON Schema matches the schema in the code", () => {
  const path = new URL("../../settings.schema.json", import.meta.url);
  const committed: unknown = JSON.parse(readFileSync(path, "utf8"));
  expect(committed).toEqual(JSON.parse(JSON.stringify(settingsJsonSchema())));
});

describe("loadSecrets", () => {
  afterEach(() => {
    delete process.env.SETTINGS_TEST_SECRET;
  });

  test("reads a secret from the environment without exposing its value", async () => {
    process.env.SETTINGS_TEST_SECRET = "hush";
    const refs = [{ name: "current", env: "SETTINGS_TEST_SECRET" }];
    const loaded = await loadSecrets(refs, "/systemSecrets");
    expect(loaded.ok && loaded.secrets[0]?.reveal()).toBe("hush");
    expect(JSON.stringify(loaded)).not.toMatch(/hush/);
  });

  test("an empty or missing secret is an error that names its source", async () => {
    const refs = [
      { name: "a", env: "SETTINGS_TEST_SECRET" },
      { name: "b", file: "/nowhere/secret" },
    ];
    const loaded = await loadSecrets(refs, "/systemSecrets");
    const text = loaded.ok ? "" : loaded.issues.map(formatIssue).join("\n");
    expect(text).toMatch(/\/systemSecrets\/0.*SETTINGS_TEST_SECRET/);
    expect(text).toMatch(/\/systemSecrets\/1.*\/nowhere\/secret/);
  });
});

import { afterAll, beforeAll, describe, expect, test } from "@jest/globals";
import { createHash } from "node:crypto";
import { connect } from "node:net";
import { Harness } from "./harness.ts";

const KEY = "known-key";
const JSON_TYPE = { "content-type": "application/json" };
const LONG_PROMPT = "word ".repeat(5_000);

interface BadRequest {
  name: string;
  path: string;
  init: RequestInit;
  status: number;
  code: string;
}

function post(body: string, headers: Record<string, string> = JSON_TYPE) {
  return { method: "POST", headers, body };
}

function completion(fields: object): string {
  return JSON.stringify({ model: "guide-writer", prompt: "hi", ...fields });
}

const BAD_REQUESTS: BadRequest[] = [
  {
    name: "malformed JSON",
    path: "/v1/completions",
    init: post("{"),
    status: 400,
    code: "malformed_json",
  },
  {
    name: "an empty body",
    path: "/v1/completions",
    init: post(""),
    status: 400,
    code: "malformed_json",
  },
  {
    name: "a body that is not a JSON object",
    path: "/v1/completions",
    init: post("[1]"),
    status: 400,
    code: "invalid_request",
  },
  {
    name: "a `__proto__` key in the body",
    path: "/v1/completions",
    init: post('{"__proto__": {"model": "guide-writer"}}'),
    status: 400,
    code: "malformed_json",
  },
  {
    name: "a wrong content type",
    path: "/v1/completions",
    init: post(completion({}), { "content-type": "text/plain" }),
    status: 415,
    code: "unsupported_media_type",
  },
  {
    name: "an unknown model",
    path: "/v1/completions",
    init: post(completion({ model: "nobody" })),
    status: 404,
    code: "model_not_found",
  },
  {
    name: "a prompt that is too long",
    path: "/v1/completions",
    init: post(completion({ prompt: LONG_PROMPT })),
    status: 400,
    code: "prompt_too_long",
  },
  {
    name: "an oversized body",
    path: "/v1/completions",
    init: post(completion({ prompt: "x".repeat(200_000) })),
    status: 413,
    code: "body_too_large",
  },
  {
    name: "more than one completion for a prompt",
    path: "/v1/completions",
    init: post(completion({ n: 2 })),
    status: 400,
    code: "invalid_request",
  },
  {
    name: "a limit of 0 output tokens",
    path: "/v1/completions",
    init: post(completion({ max_tokens: 0 })),
    status: 400,
    code: "invalid_request",
  },
  {
    name: "a chat without messages",
    path: "/v1/chat/completions",
    init: post(JSON.stringify({ model: "guide-writer", messages: [] })),
    status: 400,
    code: "invalid_request",
  },
  {
    name: "an unknown request class",
    path: "/v1/completions",
    init: post(completion({}), { ...JSON_TYPE, "x-request-class": "vip" }),
    status: 400,
    code: "invalid_request_class",
  },
  {
    name: "a request class above the customer's maximum",
    path: "/v1/completions",
    init: post(completion({}), {
      ...JSON_TYPE,
      "x-api-key": KEY,
      "x-request-class": "interactive",
    }),
    status: 403,
    code: "class_not_allowed",
  },
  {
    name: "an unknown route",
    path: "/v2/completions",
    init: {},
    status: 404,
    code: "not_found",
  },
  {
    name: "an unknown plain service",
    path: "/services/nothing/x",
    init: {},
    status: 404,
    code: "unknown_service",
  },
  {
    name: "an idempotency key with spaces",
    path: "/services/orders/swaps",
    init: { method: "POST", headers: { "idempotency-key": "a b" } },
    status: 400,
    code: "invalid_key",
  },
  {
    name: "an idempotency key that is too long",
    path: "/services/orders/swaps",
    init: { method: "POST", headers: { "idempotency-key": "k".repeat(256) } },
    status: 400,
    code: "invalid_key",
  },
  {
    name: "headers above the size limit",
    path: "/v1/models",
    init: { headers: { "x-flood": "x".repeat(20_000) } },
    status: 431,
    code: "headers_too_large",
  },
];

describe("bad input", () => {
  let harness: Harness;

  beforeAll(async () => {
    harness = await Harness.start({ entry: { maxBodyBytes: 100_000 } });
    const keySha256 = [createHash("sha256").update(KEY).digest("hex")];
    harness.config.customers.push(
      { name: "mill", keySha256, maxClass: "standard" as never },
    );
  });

  afterAll(() => harness.close());

  test.each(BAD_REQUESTS)("$name is refused", async (bad) => {
    const res = await fetch(harness.entry.callersAddress + bad.path, bad.init);
    expect(res.status).toBe(bad.status);
    const id = res.headers.get("x-request-id");
    expect(id).toHaveLength(22);
    expect(await res.json()).toMatchObject({
      error: { code: bad.code, outcome: "not_run", request_id: id },
    });
  });

  test("reserves nothing, and the entry still serves valid requests", async () => {
    for (const sidecar of [...harness.decodes, ...harness.plains]) {
      expect(sidecar.reserves).toHaveLength(0);
    }
    expect(harness.entry.inFlight).toBe(0);
    expect((await harness.complete()).status).toBe(200);
  });

  test("bytes that are not HTTP get status 400 and a closed connection", async () => {
    const url = new URL(harness.entry.callersAddress);
    const socket = connect(Number(url.port), url.hostname);
    socket.write("\u0000\u0001 this is not HTTP\r\n\r\n");
    let answer = "";
    for await (const chunk of socket) answer += chunk;
    expect(answer).toMatch(/^HTTP\/1.1 400 /);
    expect(answer).toContain("malformed_request");
  });
});

describe("API keys", () => {
  test("a service that requires a key rejects missing and unknown keys", async () => {
    const harness = await Harness.start({ policy: { requireApiKey: true } });
    const missing = await harness.complete();
    expect(missing.status).toBe(401);
    const authorization = "Bearer wrong";
    const wrong = await harness.complete({}, {
      headers: { ...JSON_TYPE, authorization },
    });
    expect(wrong.status).toBe(401);
    expect(await wrong.json()).toMatchObject({
      error: { code: "not_authorized", outcome: "not_run" },
    });
    await harness.close();
  });

  test("a customer above its rate limit gets a Retry-After header", async () => {
    const limit = { requestsPerSecond: 0.01, burst: 1, concurrent: 5 };
    const harness = await Harness.start({ policy: { limit } });
    expect((await harness.complete()).status).toBe(200);
    const res = await harness.complete();
    expect(res.status).toBe(429);
    expect(Number(res.headers.get("retry-after"))).toBeGreaterThan(1);
    const metrics = await fetch(`${harness.entry.callersAddress}/metrics`);
    expect(await metrics.text())
      .toMatch(/outcome="not_run",reason="rate_limited"\} 1/);
    await harness.close();
  });
});

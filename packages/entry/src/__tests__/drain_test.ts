import { describe, expect, test } from "@jest/globals";
import { connect } from "node:net";
import type { FrameWriter } from "./fake_sidecar.ts";
import { eventsOf, Harness, textOf, until } from "./harness.ts";

describe("a draining entry", () => {
  test("finishes requests in flight and refuses new ones as not_run", async () => {
    const harness = await Harness.start();
    let out: FrameWriter | undefined;
    harness.decodes[0].onStart = (_req, writer) => {
      writer.tokens(0, "a ");
      out = writer;
    };
    const inFlight = await harness.complete({ stream: true });
    let drained = false;
    const drain = harness.entry.drain(new AbortController().signal)
      .then(() => drained = true);
    await until(() => out !== undefined);
    const ready = await fetch(`${harness.entry.callersAddress}/readyz`);
    expect(ready.status).toBe(503);
    const refused = await harness.complete();
    expect(refused.status).toBe(503);
    expect(refused.headers.get("connection")).toBe("close");
    expect(await refused.json()).toMatchObject({
      error: { code: "draining", outcome: "not_run" },
    });
    expect(drained).toBe(false);
    out!.tokens(1, "whole ", "answer");
    out!.end(3);
    expect(textOf(eventsOf(await inFlight.text()))).toBe("a whole answer");
    await drain;
    await harness.close();
  });

  test("does not wait for an idle connection", async () => {
    const harness = await Harness.start();
    const url = new URL(harness.entry.callersAddress);
    const idle = connect(Number(url.port), url.hostname);
    await new Promise((resolve) => idle.once("connect", resolve));
    await harness.entry.drain(new AbortController().signal);
    await harness.close();
    idle.destroy();
  });

  test("is healthy, ready and serves metrics before it drains", async () => {
    const harness = await Harness.start();
    await harness.complete();
    const base = harness.entry.callersAddress;
    expect((await fetch(`${base}/healthz`)).status).toBe(200);
    expect((await fetch(`${base}/readyz`)).status).toBe(200);
    const metrics = await (await fetch(`${base}/metrics`)).text();
    expect(metrics).toMatch(
      /requests_total\{service="guides",outcome="answered",reason=""\} 1/,
    );
    await harness.close();
  });
});

describe("an entry without any configuration", () => {
  test("is not ready and refuses requests as not_run", async () => {
    const harness = await Harness.start();
    harness.config.sequence = 0;
    const ready = await fetch(`${harness.entry.callersAddress}/readyz`);
    expect(ready.status).toBe(503);
    expect(await ready.json()).toEqual({ status: "not_configured" });
    const refused = await harness.complete();
    expect(refused.status).toBe(503);
    expect(refused.headers.get("retry-after")).toBe("1");
    expect(await refused.json()).toMatchObject({
      error: { code: "not_configured", outcome: "not_run" },
    });
    harness.config.sequence = 1;
    const later = await fetch(`${harness.entry.callersAddress}/readyz`);
    expect(later.status).toBe(200);
    await harness.close();
  });
});

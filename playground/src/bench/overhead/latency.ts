/**
 * Compares the time to first token through an entry (the process that accepts
 * callers' requests) and sidecars with that of direct requests to the same
 * engines. Within one run, each pair is one routed and one direct request, sent
 * one after the other, while background streams occupy half of the decode slots.
 */
import { createHttpEngine, type HttpEngine } from "@sassafrascleat/engine";
import { EngineEventKind, EngineStatus } from "@sassafrascleat/engine";
import { BackendRole, TOKENS_PER_PIECE } from "@sassafrascleat/protocol";
import { setMaxListeners } from "node:events";
import { callModel } from "../../caller/model_caller.ts";
import { type Rig, RIG_MODEL } from "../../rig/rig.ts";
import type { RigBackend } from "../../rig/rig_backend.ts";
import {
  BACKGROUND_TOKENS,
  DECODE_SLOTS,
  PROMPT_CHARS,
  WARM_UP_PAIRS,
} from "./options.ts";

const CHARS_PER_TOKEN = 4;

/** Times to first token, in milliseconds. */
export interface LatencyFigures {
  pairs: number;
  failed: number;
  direct: Quantiles;
  routed: Quantiles;
  /** Each quantile of the routed times minus that of the direct times. */
  added: Quantiles;
  ratio: Quantiles;
}

interface Quantiles {
  p50: number;
  p99: number;
}

/** Sends requests to the engines directly, as a caller without a router does. */
class DirectCaller {
  readonly #prefills: { engine: HttpEngine; backend: RigBackend }[];
  readonly #decodes: HttpEngine[];
  #sent = 0;

  constructor(rig: Rig) {
    const engineAt = (backend: RigBackend) =>
      createHttpEngine({ baseUrl: backend.listed.engineAddress });
    this.#prefills = rig.byRole(BackendRole.Prefill)
      .map((backend) => ({ backend, engine: engineAt(backend) }));
    this.#decodes = rig.byRole(BackendRole.Decode).map(engineAt);
  }

  /** Time to first token, in milliseconds; undefined if no token arrived. */
  async firstToken(prompt: string): Promise<number | undefined> {
    const index = this.#sent++;
    const prefill = this.#prefills[index % this.#prefills.length]!;
    const decode = this.#decodes[index % this.#decodes.length]!;
    const { signal } = new AbortController();
    const req = {
      id: `direct-${index}/1`,
      model: RIG_MODEL,
      prompt,
      generated: [],
      promptTokens: Math.ceil(prompt.length / CHARS_PER_TOKEN),
      priority: 0,
    };
    const startMs = performance.now();
    const run = { ...req, pieceHashes: pieceHashesOf(prompt) };
    const done = await prefill.engine.prefill(run, signal);
    if (done.status !== EngineStatus.Ok) return undefined;
    const { name, availabilityZone, engineAddress } = prefill.backend.listed;
    const { handle, tokens, expiresInMs } = done;
    const kv = {
      handle,
      backendServer: name,
      availabilityZone,
      engineAddress,
      tokens,
      expiresInMs,
    };
    const begun = await decode.decode(
      { ...req, maxOutputTokens: 1, kv, transferTimeoutMs: 1_000 },
      signal,
    );
    if (begun.status !== EngineStatus.Ok) return undefined;
    let ttftMs: number | undefined;
    for await (const event of begun.events) {
      const first = event.kind === EngineEventKind.Tokens;
      if (first) ttftMs ??= performance.now() - startMs;
    }
    return ttftMs;
  }

  async close(): Promise<void> {
    const engines = [...this.#prefills.map((it) => it.engine)];
    await Promise.all([...engines, ...this.#decodes].map((it) => it.close()));
  }
}

/**
 * Piece hashes of a prompt. Each prompt is new and should find no piece in a
 * prefix cache; but the hashes depend only on the prompt's length and the
 * piece's index, so prompts of equal length have equal piece hashes. After the
 * first direct prompt at an engine, direct prefills may therefore hit its prefix
 * cache, which makes them faster than the prefills of new prompts.
 */
function pieceHashesOf(prompt: string): string[] {
  const pieces = Math.ceil(prompt.length / CHARS_PER_TOKEN / TOKENS_PER_PIECE);
  return Array.from({ length: pieces }, (_, i) => `${prompt.length}-${i}`);
}

async function routedFirstToken(
  address: string,
  prompt: string,
): Promise<number | undefined> {
  const answer = await callModel({
    address,
    model: RIG_MODEL,
    prompt,
    maxTokens: 1,
    stream: true,
  });
  return answer.finished ? answer.ttftMs : undefined;
}

/** Occupies half of the decode slots until `signal` aborts. */
async function occupyHalfOfSlots(
  rig: Rig,
  address: string,
  signal: AbortSignal,
): Promise<void> {
  const streams = rig.byRole(BackendRole.Decode).length * DECODE_SLOTS / 2;
  const lane = async (lane: number) => {
    for (let i = 0; !signal.aborted; i++) {
      await callModel({
        address,
        model: RIG_MODEL,
        prompt: `background ${lane} ${i}`,
        maxTokens: BACKGROUND_TOKENS,
        stream: true,
        signal,
      }).catch(() => {});
    }
  };
  await Promise.all(Array.from({ length: streams }, (_, i) => lane(i)));
}

function quantilesOf(values: readonly number[]): Quantiles {
  const sorted = [...values].sort((a, b) => a - b);
  const quantileAt = (share: number) =>
    sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ??
      NaN;
  return { p50: quantileAt(0.5), p99: quantileAt(0.99) };
}

function latencyFigures(
  direct: readonly number[],
  routed: readonly number[],
  failed: number,
): LatencyFigures {
  const d = quantilesOf(direct);
  const r = quantilesOf(routed);
  return {
    pairs: direct.length,
    failed,
    direct: d,
    routed: r,
    added: { p50: r.p50 - d.p50, p99: r.p99 - d.p99 },
    ratio: { p50: r.p50 / d.p50, p99: r.p99 / d.p99 },
  };
}

/** Sends the pairs; which request of a pair goes first alternates. */
export async function measureLatency(
  rig: Rig,
  pairs: number,
): Promise<LatencyFigures> {
  const address = rig.entries[0].process.addresses.callers ?? "";
  const stop = new AbortController();
  setMaxListeners(0, stop.signal);
  const background = occupyHalfOfSlots(rig, address, stop.signal);
  const caller = new DirectCaller(rig);
  const direct: number[] = [];
  const routed: number[] = [];
  let failed = 0;
  for (let i = 0; i < pairs + WARM_UP_PAIRS; i++) {
    const prompt = (label: string) =>
      `${label} ${i} `.padEnd(PROMPT_CHARS, "word ");
    const senders = {
      direct: () => caller.firstToken(prompt("d")),
      routed: () => routedFirstToken(address, prompt("r")),
    };
    const routedFirst = i % 2 === 0;
    const first = await (routedFirst ? senders.routed() : senders.direct());
    const second = await (routedFirst ? senders.direct() : senders.routed());
    if (i < WARM_UP_PAIRS) continue;
    const [d, r] = routedFirst ? [second, first] : [first, second];
    if (d === undefined || r === undefined) failed += 1;
    else {
      direct.push(d);
      routed.push(r);
    }
  }
  stop.abort();
  await background;
  await caller.close();
  return latencyFigures(direct, routed, failed);
}

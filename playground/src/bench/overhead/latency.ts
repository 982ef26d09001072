/**
 * First tokens through entry and sidecars against first tokens of the same
 * engines asked directly, in pairs of one run, while other answers hold half of
 * the decode slots.
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

/** First-token times, in milliseconds. */
export interface LatencyFigures {
  pairs: number;
  failed: number;
  direct: Quantiles;
  routed: Quantiles;
  /** Quantiles of the routed times less those of the direct ones. */
  added: Quantiles;
  ratio: Quantiles;
}

interface Quantiles {
  p50: number;
  p99: number;
}

/** Asks the engines as a caller without a router would. */
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

  /** Time to the first token, in milliseconds; undefined when there was none. */
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

/** Each probe's prompt is new, so no piece of it is cached anywhere. */
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

/** Keeps half of the decode slots busy until `signal` aborts. */
async function holdHalf(
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
  const at = (share: number) =>
    sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ??
      NaN;
  return { p50: at(0.5), p99: at(0.99) };
}

function figuresOf(
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

/** Sends the pairs, in turns first through the entry and first directly. */
export async function measureLatency(
  rig: Rig,
  pairs: number,
): Promise<LatencyFigures> {
  const address = rig.entries[0].process.addresses.callers ?? "";
  const stop = new AbortController();
  setMaxListeners(0, stop.signal);
  const background = holdHalf(rig, address, stop.signal);
  const caller = new DirectCaller(rig);
  const direct: number[] = [];
  const routed: number[] = [];
  let failed = 0;
  for (let i = 0; i < pairs + WARM_UP_PAIRS; i++) {
    const prompt = (way: string) =>
      `${way} ${i} `.padEnd(PROMPT_CHARS, "word ");
    const ways = {
      direct: () => caller.firstToken(prompt("d")),
      routed: () => routedFirstToken(address, prompt("r")),
    };
    const routedFirst = i % 2 === 0;
    const first = await (routedFirst ? ways.routed() : ways.direct());
    const second = await (routedFirst ? ways.direct() : ways.routed());
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
  return figuresOf(direct, routed, failed);
}

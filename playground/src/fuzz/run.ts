/**
 * One fuzz run: performs steps on a deployment and records the callers'
 * results.
 */
import { BackendRole, SYSTEM_SECRET_HEADER } from "@sassafrascleat/protocol";
import { deadlineSignal, sleep } from "@sassafrascleat/runtime";
import { PlainFault, StoreMode } from "@sassafrascleat/testing";
import { randomUUID } from "node:crypto";
import { callModel, type ModelAnswer } from "../caller/model_caller.ts";
import { callPlain } from "../caller/plain_caller.ts";
import type { MessageProxy } from "./message_proxy.ts";
import type { FuzzBackend } from "./fuzz_backend.ts";
import { executionsOf } from "./oracle.ts";
import {
  CALLER_TIMEOUT_MS,
  type CallRecords,
  type ModelRecord,
  type PlainRecord,
} from "./records.ts";
import {
  EngineFault,
  type FaultStep,
  type ModelStep,
  type PlainStep,
  ProxyFault,
  type Step,
  StepKind,
  StoreFault,
} from "./steps.ts";
import { until } from "../until.ts";
import type { FuzzDeployment, FuzzEntry } from "./deployment.ts";
import { FUZZ_MODEL, FUZZ_PLAIN_SERVICE } from "./deployment_config.ts";

/** Delay of a dispatch, in milliseconds; longer than a plain call's timeout. */
const DISPATCH_DELAY_MS = 2_500;

/** Maximum time until a plain call is executed, in milliseconds. */
const EXECUTION_TIMEOUT_MS = 1_000;

/** Number of chunks after which a stream counts as running. */
const RUNNING_CHUNKS = 2;

/** Maximum time until a stream is running, in milliseconds. */
const CHUNKS_TIMEOUT_MS = 3_000;

/** Response delay of a slow store, in milliseconds. */
const STORE_DELAY_MS = 150;

/** One run on one deployment. */
export class FuzzRun {
  readonly records: CallRecords = { modelRequests: [], plainCalls: [] };
  readonly #deployment: FuzzDeployment;
  readonly #pending: Promise<void>[] = [];
  readonly #leaving = new Set<string>();
  readonly #leavingAtFirstSend = new Map<string, Set<string>>();
  readonly #id = randomUUID().slice(0, 8);

  constructor(deployment: FuzzDeployment) {
    this.#deployment = deployment;
  }

  /** Performs one step; calls continue in the background. */
  async perform(step: Step): Promise<void> {
    if (step.kind === StepKind.Model) return this.#startModel(step);
    if (step.kind === StepKind.Plain) return this.#startPlain(step);
    await this.#applyFaultStep(step);
  }

  /** Heals all faults and waits until every call has ended. */
  async settle(): Promise<void> {
    await this.#deployment.heal();
    await Promise.all(this.#pending);
  }

  #entry(index: number): FuzzEntry {
    const { entries } = this.#deployment;
    return entries[index % entries.length]!;
  }

  #backend(index: number): FuzzBackend {
    const { backends } = this.#deployment;
    return backends[index % backends.length]!;
  }

  #startModel(step: ModelStep): void {
    const number = this.records.modelRequests.length;
    const filler = "line ".repeat(step.promptChars / 5);
    const record: ModelRecord = {
      prompt: `${this.#id}-${number} ${filler} #len=${step.tokens}`,
      tokens: step.tokens,
      cancelled: step.cancelAfterMs !== undefined || step.cancelAtFirstChunk,
      leaving: new Set(this.#leaving),
      chunks: 0,
      answer: undefined,
      ended: false,
      hung: false,
    };
    this.records.modelRequests.push(record);
    this.#pending.push(this.#callModel(step, record));
  }

  async #callModel(step: ModelStep, record: ModelRecord): Promise<void> {
    const timeoutSignal = deadlineSignal(CALLER_TIMEOUT_MS);
    const leave = new AbortController();
    const hangUp = AbortSignal.any([timeoutSignal, leave.signal]);
    const signal = step.cancelAfterMs === undefined
      ? hangUp
      : deadlineSignal(step.cancelAfterMs, hangUp);
    const answer = callModel({
      address: this.#entry(step.entry).address,
      model: FUZZ_MODEL,
      prompt: record.prompt,
      maxTokens: step.tokens,
      stream: step.stream,
      signal,
      onChunk: (chunks) => {
        record.chunks = chunks;
        if (step.cancelAtFirstChunk) leave.abort();
      },
    });
    record.answer = await answer.catch((): ModelAnswer | undefined =>
      undefined
    );
    record.ended = true;
    record.hung = timeoutSignal.aborted;
  }

  #startPlain(step: PlainStep): void {
    const key = step.key === undefined ? undefined : `${this.#id}-${step.key}`;
    const number = this.records.plainCalls.length;
    const body = JSON.stringify({ order: key ?? `${this.#id}-n${number}` });
    const first = this.#leavingAtFirstSend.get(body) ?? new Set(this.#leaving);
    this.#leavingAtFirstSend.set(body, first);
    const record: PlainRecord = {
      body: step.repeatable ? "" : body,
      key,
      repeatable: step.repeatable,
      leaving: step.repeatable ? new Set() : first,
      result: undefined,
      hung: false,
    };
    this.records.plainCalls.push(record);
    this.#pending.push(this.#callPlain(step, record));
  }

  async #callPlain(step: PlainStep, record: PlainRecord): Promise<void> {
    const timeoutSignal = deadlineSignal(CALLER_TIMEOUT_MS);
    record.result = await callPlain({
      address: this.#entry(step.entry).address,
      service: FUZZ_PLAIN_SERVICE,
      method: step.repeatable ? "GET" : "POST",
      path: "/orders",
      body: step.repeatable ? undefined : record.body,
      idempotencyKey: record.key,
      signal: timeoutSignal,
    }).catch(() => undefined);
    record.hung = timeoutSignal.aborted;
  }

  async #applyFaultStep(step: FaultStep): Promise<void> {
    switch (step.kind) {
      case StepKind.Wait:
        return await sleep(step.ms);
      case StepKind.AwaitExecution:
        return await this.#awaitExecution();
      case StepKind.AwaitChunks:
        return await this.#awaitChunks();
      case StepKind.ProxyFault:
        return this.#setProxyFault(step.entry, step.node, step.fault);
      case StepKind.KillSidecar:
        return await this.#killSidecar(this.#backend(step.node));
      case StepKind.StartSidecar:
        return await this.#backend(step.node).startSidecar();
      case StepKind.KillEntry:
        return await this.#deployment.killEntry(this.#entry(step.entry));
      case StepKind.StartEntry:
        return await this.#deployment.startEntry(this.#entry(step.entry));
      case StepKind.SetLeaving:
        return await this.#setLeaving(this.#backend(step.node), step.leaving);
      case StepKind.Store:
        return this.#setStoreFault(step.fault);
      case StepKind.Engine:
        return setEngineFault(this.#backend(step.node), step.fault);
      case StepKind.PlainService:
        return setPlainFault(this.#deployment, step.node, step.loseAnswers);
      case StepKind.Heal:
        return await this.#deployment.heal();
    }
  }

  /** Waits in vain if no server can execute the latest plain call. */
  async #awaitExecution(): Promise<void> {
    const body = this.records.plainCalls.at(-1)?.body;
    if (body === undefined) return;
    await until(
      () => executionsOf(this.#deployment, body) > 0,
      EXECUTION_TIMEOUT_MS,
    );
  }

  async #awaitChunks(): Promise<void> {
    const record = this.records.modelRequests.at(-1);
    if (!record) return;
    await until(
      () => record.ended || record.chunks >= RUNNING_CHUNKS,
      CHUNKS_TIMEOUT_MS,
    );
  }

  #proxy(entry: number, backend: number): MessageProxy {
    const { proxies } = this.#entry(entry);
    return proxies[backend % proxies.length]!;
  }

  /**
   * Sets the fault on one link, or on all links of the entry for
   * `RepeatFrames`.
   */
  #setProxyFault(entry: number, backend: number, fault: ProxyFault): void {
    if (fault !== ProxyFault.RepeatFrames) {
      return setProxyFault(this.#proxy(entry, backend), fault);
    }
    for (const proxy of this.#entry(entry).proxies) setProxyFault(proxy, fault);
  }

  async #killSidecar(backend: FuzzBackend): Promise<void> {
    this.#clearLeaving(backend.listed.name);
    await backend.killSidecar();
  }

  /**
   * Removes the backend server from the records' leaving sets, because a
   * sidecar that stays or is new may accept calls that were sent earlier.
   */
  #clearLeaving(name: string): void {
    this.#leaving.delete(name);
    const { modelRequests: requests, plainCalls: calls } = this.records;
    for (const record of [...requests, ...calls]) record.leaving.delete(name);
  }

  /**
   * Notifies a sidecar; the oracle regards it as leaving only after it has
   * acknowledged the notice.
   */
  async #setLeaving(backend: FuzzBackend, leaving: boolean): Promise<void> {
    const { name } = backend.listed;
    if (!leaving) this.#clearLeaving(name);
    if (!backend.running) return;
    const proxy = this.#proxy(0, this.#deployment.backends.indexOf(backend));
    const res = await fetch(`${proxy.address}/rpc/drain`, {
      method: "POST",
      headers: {
        "content-type": "application/json",
        [SYSTEM_SECRET_HEADER]: this.#deployment.secret.reveal(),
      },
      body: JSON.stringify({ leaving }),
    }).catch(() => undefined);
    if (res?.ok && leaving) this.#leaving.add(name);
  }

  #setStoreFault(fault: StoreFault): void {
    const { store } = this.#deployment;
    switch (fault) {
      case StoreFault.Outage:
        return store.setFaults({ mode: StoreMode.Refuse });
      case StoreFault.LoseAnswer:
        return store.setFaults({ loseAnswers: 1 });
      case StoreFault.HangAnswer:
        return store.setFaults({ hangAnswers: 1 });
      case StoreFault.Slow:
        return store.setFaults({ answerDelayMs: STORE_DELAY_MS });
    }
  }
}

function setProxyFault(proxy: MessageProxy, fault: ProxyFault): void {
  switch (fault) {
    case ProxyFault.LoseRequest:
      return proxy.setFaults({ loseRequests: 1 });
    case ProxyFault.LoseReply:
      return proxy.setFaults({ loseReplies: 1 });
    case ProxyFault.Duplicate:
      return proxy.setFaults({ duplicate: 3 });
    case ProxyFault.DelayDispatch:
      return proxy.setFaults({ delayDispatchMs: DISPATCH_DELAY_MS });
    case ProxyFault.RepeatFrames:
      return proxy.setFaults({ repeatFrames: true });
    case ProxyFault.CutStreams:
      return proxy.cutStreams();
  }
}

function setEngineFault(backend: FuzzBackend, fault: EngineFault): void {
  if (fault === EngineFault.Die) backend.engine?.setFaults({ dead: true });
  else backend.engine?.setFaults({ stallTransfers: true });
}

function setPlainFault(
  deployment: FuzzDeployment,
  index: number,
  loseAnswers: boolean,
): void {
  const backends = deployment.byRole(BackendRole.Plain);
  const backend = backends[index % backends.length];
  const fault = loseAnswers ? PlainFault.AfterExecuting : PlainFault.None;
  backend?.plain?.setFault(fault);
}

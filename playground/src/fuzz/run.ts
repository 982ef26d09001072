/** One fuzz run: performs steps on a world and keeps the callers' records. */
import { BackendRole, SYSTEM_SECRET_HEADER } from "@sassafrascleat/protocol";
import { deadlineSignal, sleep } from "@sassafrascleat/runtime";
import { PlainFault, StoreMode } from "@sassafrascleat/testing";
import { randomUUID } from "node:crypto";
import { callModel, type ModelAnswer } from "../caller/model_caller.ts";
import { callPlain } from "../caller/plain_caller.ts";
import type { MessageBox } from "./message_box.ts";
import type { FuzzNode } from "./node.ts";
import {
  CALLER_PATIENCE_MS,
  type CallRecords,
  type ModelRecord,
  type PlainRecord,
} from "./records.ts";
import {
  BoxFault,
  EngineFault,
  type FaultStep,
  type ModelStep,
  type PlainStep,
  type Step,
  StepKind,
  StoreFault,
} from "./steps.ts";
import type { FuzzEntry, World } from "./world.ts";
import { FUZZ_MODEL, FUZZ_PLAIN_SERVICE } from "./world_config.ts";

/** Delay of a held dispatch, beyond a plain call's timeout, in milliseconds. */
const HELD_DISPATCH_MS = 2_500;

/** Delay of a slow store, in milliseconds. */
const SLOW_STORE_MS = 150;

/** One run on one world. */
export class FuzzRun {
  readonly records: CallRecords = { models: [], plains: [] };
  readonly #world: World;
  readonly #pending: Promise<void>[] = [];
  readonly #leaving = new Set<string>();
  readonly #firstLeaving = new Map<string, Set<string>>();
  readonly #id = randomUUID().slice(0, 8);

  constructor(world: World) {
    this.#world = world;
  }

  /** Performs one step; calls go on in the background. */
  async perform(step: Step): Promise<void> {
    if (step.kind === StepKind.Model) return this.#startModel(step);
    if (step.kind === StepKind.Plain) return this.#startPlain(step);
    await this.#fault(step);
  }

  /** Takes faults back and waits for the end of every call. */
  async settle(): Promise<void> {
    await this.#world.heal();
    await Promise.all(this.#pending);
  }

  #entry(index: number): FuzzEntry {
    const { entries } = this.#world;
    return entries[index % entries.length]!;
  }

  #node(index: number): FuzzNode {
    const { nodes } = this.#world;
    return nodes[index % nodes.length]!;
  }

  #startModel(step: ModelStep): void {
    const number = this.records.models.length;
    const filler = "line ".repeat(step.promptChars / 5);
    const record: ModelRecord = {
      prompt: `${this.#id}-${number} ${filler} #len=${step.tokens}`,
      tokens: step.tokens,
      cancelled: step.cancelAfterMs !== undefined,
      leaving: new Set(this.#leaving),
      answer: undefined,
      hung: false,
    };
    this.records.models.push(record);
    this.#pending.push(this.#callModel(step, record));
  }

  async #callModel(step: ModelStep, record: ModelRecord): Promise<void> {
    const patience = deadlineSignal(CALLER_PATIENCE_MS);
    const signal = step.cancelAfterMs === undefined
      ? patience
      : deadlineSignal(step.cancelAfterMs, patience);
    const answer = callModel({
      address: this.#entry(step.entry).address,
      model: FUZZ_MODEL,
      prompt: record.prompt,
      maxTokens: step.tokens,
      stream: step.stream,
      signal,
    });
    record.answer = await answer.catch((): ModelAnswer | undefined =>
      undefined
    );
    record.hung = patience.aborted;
  }

  #startPlain(step: PlainStep): void {
    const key = step.key === undefined ? undefined : `${this.#id}-${step.key}`;
    const number = this.records.plains.length;
    const body = JSON.stringify({ order: key ?? `${this.#id}-n${number}` });
    const first = this.#firstLeaving.get(body) ?? new Set(this.#leaving);
    this.#firstLeaving.set(body, first);
    const record: PlainRecord = {
      body: step.repeatable ? "" : body,
      key,
      repeatable: step.repeatable,
      leaving: step.repeatable ? new Set() : first,
      result: undefined,
      hung: false,
    };
    this.records.plains.push(record);
    this.#pending.push(this.#callPlain(step, record));
  }

  async #callPlain(step: PlainStep, record: PlainRecord): Promise<void> {
    const patience = deadlineSignal(CALLER_PATIENCE_MS);
    record.result = await callPlain({
      address: this.#entry(step.entry).address,
      service: FUZZ_PLAIN_SERVICE,
      method: step.repeatable ? "GET" : "POST",
      path: "/orders",
      body: step.repeatable ? undefined : record.body,
      idempotencyKey: record.key,
      signal: patience,
    }).catch(() => undefined);
    record.hung = patience.aborted;
  }

  async #fault(step: FaultStep): Promise<void> {
    switch (step.kind) {
      case StepKind.Wait:
        return await sleep(step.ms);
      case StepKind.Box:
        return this.#setBoxFault(step.entry, step.node, step.fault);
      case StepKind.KillSidecar:
        return await this.#killSidecar(this.#node(step.node));
      case StepKind.StartSidecar:
        return await this.#node(step.node).start();
      case StepKind.KillEntry:
        return await this.#world.killEntry(this.#entry(step.entry));
      case StepKind.StartEntry:
        return await this.#world.startEntry(this.#entry(step.entry));
      case StepKind.Leave:
        return await this.#leave(this.#node(step.node), step.leaving);
      case StepKind.Store:
        return this.#setStoreFault(step.fault);
      case StepKind.Engine:
        return setEngineFault(this.#node(step.node), step.fault);
      case StepKind.PlainService:
        return setPlainFault(this.#world, step.node, step.loseAnswers);
      case StepKind.Heal:
        return await this.#world.heal();
    }
  }

  #box(entry: number, node: number): MessageBox {
    const { boxes } = this.#entry(entry);
    return boxes[node % boxes.length]!;
  }

  /** Frames are repeated on all of an entry's links, other faults hit one. */
  #setBoxFault(entry: number, node: number, fault: BoxFault): void {
    if (fault !== BoxFault.RepeatFrames) {
      return setBoxFault(this.#box(entry, node), fault);
    }
    for (const box of this.#entry(entry).boxes) setBoxFault(box, fault);
  }

  async #killSidecar(node: FuzzNode): Promise<void> {
    this.#forgetLeaving(node.listed.name);
    await node.kill();
  }

  /** A sidecar that stays, or a new one, may take calls that were sent before. */
  #forgetLeaving(name: string): void {
    this.#leaving.delete(name);
    const { models, plains } = this.records;
    for (const record of [...models, ...plains]) record.leaving.delete(name);
  }

  /** Tells a sidecar; only an acknowledged notice counts for the oracle. */
  async #leave(node: FuzzNode, leaving: boolean): Promise<void> {
    const { name } = node.listed;
    if (!leaving) this.#forgetLeaving(name);
    if (!node.running) return;
    const box = this.#box(0, this.#world.nodes.indexOf(node));
    const res = await fetch(`${box.address}/rpc/drain`, {
      method: "POST",
      headers: {
        "content-type": "application/json",
        [SYSTEM_SECRET_HEADER]: this.#world.secret.reveal(),
      },
      body: JSON.stringify({ leaving }),
    }).catch(() => undefined);
    if (res?.ok && leaving) this.#leaving.add(name);
  }

  #setStoreFault(fault: StoreFault): void {
    const { store } = this.#world;
    switch (fault) {
      case StoreFault.Outage:
        return store.setFaults({ mode: StoreMode.Refuse });
      case StoreFault.LoseAnswer:
        return store.setFaults({ loseAnswers: 1 });
      case StoreFault.HangAnswer:
        return store.setFaults({ hangAnswers: 1 });
      case StoreFault.Slow:
        return store.setFaults({ answerDelayMs: SLOW_STORE_MS });
    }
  }
}

function setBoxFault(box: MessageBox, fault: BoxFault): void {
  switch (fault) {
    case BoxFault.LoseRequest:
      return box.setFaults({ loseRequests: 1 });
    case BoxFault.LoseReply:
      return box.setFaults({ loseReplies: 1 });
    case BoxFault.Duplicate:
      return box.setFaults({ duplicate: 3 });
    case BoxFault.HoldDispatch:
      return box.setFaults({ holdDispatchMs: HELD_DISPATCH_MS });
    case BoxFault.RepeatFrames:
      return box.setFaults({ repeatFrames: true });
    case BoxFault.CutStreams:
      return box.cutStreams();
  }
}

function setEngineFault(node: FuzzNode, fault: EngineFault): void {
  if (fault === EngineFault.Die) node.engine?.setFaults({ dead: true });
  else node.engine?.setFaults({ stallTransfers: true });
}

function setPlainFault(world: World, index: number, lose: boolean): void {
  const plains = world.byRole(BackendRole.Plain);
  const node = plains[index % plains.length];
  const fault = lose ? PlainFault.AfterExecuting : PlainFault.None;
  node?.plain?.setFault(fault);
}

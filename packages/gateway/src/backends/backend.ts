/** A backend server as the gateway knows it. */

/** Whether a backend server accepts new requests. */
export enum BackendState {
  Ready = "ready",
  /** Finishes its running requests and accepts no new ones. */
  Draining = "draining",
}

/** The part of a generation that a model engine runs. */
export enum EngineStage {
  Prefill = "prefill",
  Decode = "decode",
}

/** One incarnation of a backend server as the store lists it. */
export interface Backend {
  id: string;
  service: string;
  /** `ip:port`. */
  address: string;
  zone: string;
  slots: number;
  state: BackendState;
  /**
   * Version of its software. What two versions generate doesn't fit together:
   * neither events of one stream nor KV-cache memory.
   */
  version: string;
  /** Absent for plain services. */
  stage?: EngineStage;
  /** Unix milliseconds of its start; a new value is a new incarnation. */
  startedAtMs?: number;
}

/** Key of one incarnation, since a later one may have the same id. */
export function incarnationOf(backend: Backend): string {
  return `${backend.id}@${backend.startedAtMs ?? 0}@${backend.address}`;
}

/** Whether a server with the same id that started at this time is another one. */
export function isOtherIncarnation(
  { startedAtMs }: Backend,
  otherStartedAtMs: number | undefined,
): boolean {
  return startedAtMs !== undefined && otherStartedAtMs !== undefined &&
    startedAtMs !== otherStartedAtMs;
}

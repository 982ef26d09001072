/** What the gateway believes about one backend server. */

/** Whether a backend server takes new work. */
export enum BackendState {
  Ready = "ready",
  /** It finishes what it has and takes nothing new. */
  Draining = "draining",
}

/** The part of a generation that a model engine carries out. */
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
  /** Absent for plain services. */
  stage?: EngineStage;
  /** Unix milliseconds of its start; a new value is a new incarnation. */
  bornMs?: number;
}

/** Names one incarnation: an id may be used again by a later one. */
export function incarnationOf(backend: Backend): string {
  return `${backend.id}@${backend.bornMs ?? 0}@${backend.address}`;
}

/** Client of the model API for scripts, tests and benchmarks. */
import { request } from "undici";
import { splitStream } from "./split_stream.ts";

/** Result of a model request, as its caller sees it. */
export interface ModelAnswer {
  status: number;
  requestId: string;
  text: string;
  /** True if the answer is complete and ended without an error. */
  finished: boolean;
  /** `not_run` or `unknown` from an error body or event. */
  outcome?: string;
  /** Time to the first token, in milliseconds. */
  ttftMs?: number;
  /** Times between chunks, in milliseconds. */
  gapsMs: number[];
}

/** One model request. */
export interface ModelRequest {
  address: string;
  model: string;
  prompt: string;
  maxTokens: number;
  stream: boolean;
  headers?: Record<string, string>;
  signal?: AbortSignal;
  /** Called with the number of chunks read so far. */
  onChunk?: (chunks: number) => void;
}

interface CompletionBody {
  choices?: { text?: string; finish_reason?: string | null }[];
  error?: { outcome?: string };
}

/** Yields the data of a response's server-sent events. */
async function* readEvents(
  body: AsyncIterable<Uint8Array>,
): AsyncGenerator<string> {
  for await (const event of splitStream(body, "\n\n")) {
    if (event.startsWith("data: ")) yield event.slice("data: ".length);
  }
}

function addCompletion(answer: ModelAnswer, body: CompletionBody): void {
  if (body.error) answer.outcome = body.error.outcome;
  const choice = body.choices?.[0];
  answer.text += choice?.text ?? "";
}

async function readStream(
  answer: ModelAnswer,
  body: AsyncIterable<Uint8Array>,
  startMs: number,
  onChunk: (chunks: number) => void,
): Promise<void> {
  let lastMs = startMs;
  let chunks = 0;
  for await (const data of readEvents(body)) {
    if (data === "[DONE]") {
      answer.finished = answer.outcome === undefined;
      return;
    }
    const before = answer.text.length;
    addCompletion(answer, JSON.parse(data) as CompletionBody);
    if (answer.text.length === before) continue;
    const nowMs = performance.now();
    if (answer.ttftMs === undefined) answer.ttftMs = nowMs - startMs;
    else answer.gapsMs.push(nowMs - lastMs);
    lastMs = nowMs;
    onChunk(++chunks);
  }
}

/**
 * Sends a completion request and reads its answer; throws on a broken
 * connection.
 */
export async function callModel(req: ModelRequest): Promise<ModelAnswer> {
  const startMs = performance.now();
  const res = await request(`${req.address}/v1/completions`, {
    method: "POST",
    signal: req.signal,
    headers: { "content-type": "application/json", ...req.headers },
    body: JSON.stringify({
      model: req.model,
      prompt: req.prompt,
      max_tokens: req.maxTokens,
      stream: req.stream,
    }),
  });
  const answer: ModelAnswer = {
    status: res.statusCode,
    requestId: String(res.headers["x-request-id"] ?? ""),
    text: "",
    finished: false,
    gapsMs: [],
  };
  if (req.stream && res.statusCode === 200) {
    const onChunk = req.onChunk ?? (() => {});
    await readStream(answer, res.body, startMs, onChunk);
    return answer;
  }
  addCompletion(answer, await res.body.json() as CompletionBody);
  answer.finished = res.statusCode === 200;
  return answer;
}

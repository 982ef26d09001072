/** Writes answers in the OpenAI form. */
import type { FinishReason } from "@sassafrascleat/protocol";
import { ModelApi } from "./model_request.ts";

/** What every object of one answer repeats. */
export interface AnswerHead {
  api: ModelApi;
  id: string;
  model: string;
  /** Seconds since the Unix epoch. */
  created: number;
}

/** Token counts; the prompt's is an estimate. */
export interface Usage {
  promptTokens: number;
  outputTokens: number;
}

/** The whole answer as one object. */
export function wholeAnswer(
  head: AnswerHead,
  text: string,
  finish: FinishReason,
  usage: Usage,
): object {
  const chat = head.api === ModelApi.Chat;
  const content = chat
    ? { message: { role: "assistant", content: text } }
    : { text };
  return {
    ...headFields(head, chat ? "chat.completion" : "text_completion"),
    choices: [{ index: 0, ...content, finish_reason: finish }],
    usage: usageFields(usage),
  };
}

/** A chunk with more text, or with the end of the answer. */
export function chunk(
  head: AnswerHead,
  text: string,
  finish: FinishReason | undefined,
): object {
  const chat = head.api === ModelApi.Chat;
  const content = chat ? { delta: text ? { content: text } : {} } : { text };
  return {
    ...headFields(head, chunkName(head)),
    choices: [{ index: 0, ...content, finish_reason: finish ?? null }],
  };
}

/** Stands for the text while the rest of a chunk is encoded. */
const TEXT_MARK = JSON.stringify("@text@");

/** Encodes the chunks of one answer; only the text differs between them. */
export class ChunkEncoder {
  readonly #head: AnswerHead;
  readonly #before: string;
  readonly #after: string;

  constructor(head: AnswerHead) {
    this.#head = head;
    const whole = encodeChunk(head, JSON.parse(TEXT_MARK) as string);
    // Nothing of the caller's follows the text, so the last mark is its place.
    const at = whole.lastIndexOf(TEXT_MARK);
    this.#before = whole.slice(0, at);
    this.#after = whole.slice(at + TEXT_MARK.length);
  }

  /** The JSON text of a chunk with more text. */
  encode(text: string): string {
    if (text === "") return encodeChunk(this.#head, text);
    return this.#before + JSON.stringify(text) + this.#after;
  }
}

function encodeChunk(head: AnswerHead, text: string): string {
  return JSON.stringify(chunk(head, text, undefined));
}

/** The first chunk of a chat, which names the role. */
export function roleChunk(head: AnswerHead): object {
  const delta = { role: "assistant", content: "" };
  return {
    ...headFields(head, chunkName(head)),
    choices: [{ index: 0, delta, finish_reason: null }],
  };
}

/** The chunk with the token counts. */
export function usageChunk(head: AnswerHead, usage: Usage): object {
  return {
    ...headFields(head, chunkName(head)),
    choices: [],
    usage: usageFields(usage),
  };
}

function chunkName(head: AnswerHead): string {
  return head.api === ModelApi.Chat
    ? "chat.completion.chunk"
    : "text_completion";
}

function headFields(head: AnswerHead, object: string) {
  return { id: head.id, object, created: head.created, model: head.model };
}

function usageFields(usage: Usage) {
  return {
    prompt_tokens: usage.promptTokens,
    completion_tokens: usage.outputTokens,
    total_tokens: usage.promptTokens + usage.outputTokens,
  };
}

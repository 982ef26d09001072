/** Builds answers in the OpenAI format. */
import type { FinishReason } from "@sassafrascleat/protocol";
import { ModelApi } from "./model_request.ts";

/** Fields that every object of one answer repeats. */
export interface AnswerHead {
  api: ModelApi;
  id: string;
  model: string;
  /** Seconds since the Unix epoch. */
  created: number;
}

/** Token counts of one answer; the count for the prompt is an estimate. */
export interface Usage {
  promptTokens: number;
  outputTokens: number;
}

/** The complete answer as one object, for a caller that doesn't stream. */
export function completionObject(
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
    ...commonFields(head, chat ? "chat.completion" : "text_completion"),
    choices: [{ index: 0, ...content, finish_reason: finish }],
    usage: usageFields(usage),
  };
}

/** A streamed chunk with more text, or with the finish reason at the end. */
export function textChunk(
  head: AnswerHead,
  text: string,
  finish: FinishReason | undefined,
): object {
  const chat = head.api === ModelApi.Chat;
  const content = chat ? { delta: text ? { content: text } : {} } : { text };
  return {
    ...commonFields(head, chunkObjectType(head)),
    choices: [{ index: 0, ...content, finish_reason: finish ?? null }],
  };
}

/** Placeholder for the text while the rest of a chunk is encoded. */
const TEXT_PLACEHOLDER = JSON.stringify("@text@");

/**
 * Encodes the chunks of one answer. Only the text differs between them, so the
 * JSON around it is encoded once.
 */
export class ChunkEncoder {
  readonly #head: AnswerHead;
  readonly #prefix: string;
  readonly #suffix: string;

  constructor(head: AnswerHead) {
    this.#head = head;
    const encoded = encodeChunk(head, JSON.parse(TEXT_PLACEHOLDER) as string);
    // No text from the caller comes after the placeholder, so its last
    // occurrence is the right one.
    const placeholderAt = encoded.lastIndexOf(TEXT_PLACEHOLDER);
    this.#prefix = encoded.slice(0, placeholderAt);
    this.#suffix = encoded.slice(placeholderAt + TEXT_PLACEHOLDER.length);
  }

  /** The JSON text of a chunk with more text. */
  encode(text: string): string {
    if (text === "") return encodeChunk(this.#head, text);
    return this.#prefix + JSON.stringify(text) + this.#suffix;
  }
}

function encodeChunk(head: AnswerHead, text: string): string {
  return JSON.stringify(textChunk(head, text, undefined));
}

/** The first chunk of a chat answer, which carries the role. */
export function roleChunk(head: AnswerHead): object {
  const delta = { role: "assistant", content: "" };
  return {
    ...commonFields(head, chunkObjectType(head)),
    choices: [{ index: 0, delta, finish_reason: null }],
  };
}

/** The chunk with the token counts. */
export function usageChunk(head: AnswerHead, usage: Usage): object {
  return {
    ...commonFields(head, chunkObjectType(head)),
    choices: [],
    usage: usageFields(usage),
  };
}

function chunkObjectType(head: AnswerHead): string {
  return head.api === ModelApi.Chat
    ? "chat.completion.chunk"
    : "text_completion";
}

function commonFields(head: AnswerHead, object: string) {
  return { id: head.id, object, created: head.created, model: head.model };
}

function usageFields(usage: Usage) {
  return {
    prompt_tokens: usage.promptTokens,
    completion_tokens: usage.outputTokens,
    total_tokens: usage.promptTokens + usage.outputTokens,
  };
}

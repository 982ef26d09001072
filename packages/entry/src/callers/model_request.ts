/** Parses completion and chat completion requests in the OpenAI format. */
import { z } from "zod";
import { renderChat } from "../lifecycle/prompt.ts";
import { type CallerError, refusal } from "./caller_error.ts";

/** The API that a model request was sent to. */
export enum ModelApi {
  Completions = "completions",
  Chat = "chat",
}

/** A parsed model request, in the same form for both APIs. */
export interface ModelRequest {
  api: ModelApi;
  model: string;
  prompt: string;
  /** Maximum length of the answer, as asked for by the caller, in tokens. */
  maxTokens: number | undefined;
  stream: boolean;
  /** Whether a streaming caller wants token counts at the end. */
  includeUsage: boolean;
}

const commonFields = {
  model: z.string().min(1).max(256),
  max_tokens: z.number().int().min(1).nullish(),
  stream: z.boolean().nullish(),
  stream_options: z.object({ include_usage: z.boolean().optional() }).nullish(),
  n: z.literal(1, "only one answer for each request is supported").nullish(),
};

const completionSchema = z.object({
  ...commonFields,
  prompt: z.union([z.string(), z.array(z.string()).length(1)]),
});

const textPartSchema = z.object({ type: z.literal("text"), text: z.string() });

const chatSchema = z.object({
  ...commonFields,
  max_completion_tokens: z.number().int().min(1).nullish(),
  messages: z.array(z.object({
    role: z.string().min(1).max(64),
    content: z.union([z.string(), z.array(textPartSchema)]),
  })).min(1),
});

type Completion = z.infer<typeof completionSchema>;
type Chat = z.infer<typeof chatSchema>;

/** A parsed request, or the error to send to the caller. */
export type ParsedModelRequest =
  | { ok: true; request: ModelRequest }
  | { ok: false; err: CallerError };

/** Parses the body of a request to `api`. */
export function parseModelRequest(
  api: ModelApi,
  body: unknown,
): ParsedModelRequest {
  const schema = api === ModelApi.Chat ? chatSchema : completionSchema;
  const parsed = schema.safeParse(body);
  if (!parsed.success) {
    const issue = parsed.error.issues[0];
    const field = issue?.path.join(".") || "body";
    const message = `${field}: ${issue?.message ?? "not a valid request"}`;
    return { ok: false, err: refusal(400, "invalid_request", message) };
  }
  const request = "messages" in parsed.data
    ? fromChat(parsed.data)
    : fromCompletion(parsed.data);
  return { ok: true, request };
}

function fromCompletion(body: Completion): ModelRequest {
  const { prompt } = body;
  return {
    ...commonValues(body),
    api: ModelApi.Completions,
    prompt: typeof prompt === "string" ? prompt : prompt[0] ?? "",
    maxTokens: body.max_tokens ?? undefined,
  };
}

function fromChat(body: Chat): ModelRequest {
  const messages = body.messages.map(({ role, content }) => ({
    role,
    content: typeof content === "string"
      ? content
      : content.map((part) => part.text).join(""),
  }));
  return {
    ...commonValues(body),
    api: ModelApi.Chat,
    prompt: renderChat(messages),
    maxTokens: body.max_completion_tokens ?? body.max_tokens ?? undefined,
  };
}

function commonValues(body: Completion | Chat) {
  return {
    model: body.model,
    stream: body.stream ?? false,
    includeUsage: body.stream_options?.include_usage ?? false,
  };
}

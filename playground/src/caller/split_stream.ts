/** Splits a response's body into the texts between separators. */

/** Yields each text before a separator; an unfinished last one is left out. */
export async function* splitStream(
  body: AsyncIterable<Uint8Array>,
  separator: string,
): AsyncGenerator<string> {
  const decoder = new TextDecoder();
  let rest = "";
  for await (const chunk of body) {
    rest += decoder.decode(chunk, { stream: true });
    const parts = rest.split(separator);
    rest = parts.pop() ?? "";
    yield* parts;
  }
}

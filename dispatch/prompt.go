package dispatch

import (
	"encoding/json"
	"hash/fnv"
	"strings"
)

// tokenBytes is the number of bytes that count as one token.
const tokenBytes = 4

// TokenCount returns the number of tokens in a text of the given size.
func TokenCount(textBytes int) int { return (textBytes + tokenBytes - 1) / tokenBytes }

// Prompt returns the text that an engine reads for the body of a model call.
// It ends with the header of the answer, so that a prompt and its answer are a
// prefix of the next turn's prompt.
func Prompt(body json.RawMessage) (string, error) {
	var chat struct {
		Messages []message `json:"messages"`
	}
	if err := json.Unmarshal(body, &chat); err != nil {
		return "", Error.Wrap(err)
	}
	var b strings.Builder
	for _, m := range chat.Messages {
		b.WriteString("<" + m.Role + ">\n" + m.Content + "\n")
	}
	b.WriteString("<assistant>\n")
	return b.String(), nil
}

// PrefixHashes returns one hash per full block of the prompt, each over the
// prompt up to the end of its block, as engines name them in cache events.
func PrefixHashes(prompt string, blockTokens int) []uint64 {
	size := blockTokens * tokenBytes
	hashes := make([]uint64, 0, len(prompt)/size)
	hash := fnv.New64a()
	for len(prompt) >= size {
		hash.Write([]byte(prompt[:size]))
		hashes = append(hashes, hash.Sum64())
		prompt = prompt[size:]
	}
	return hashes
}

package dispatch

import (
	"encoding/json"
	"hash/fnv"
	"strings"
)

// bytesPerToken is the number of bytes that count as one token.
const bytesPerToken = 4

// TokenCount returns the number of tokens that a text of the given size counts
// as.
func TokenCount(textBytes int) int { return (textBytes + bytesPerToken - 1) / bytesPerToken }

// Prompt returns the prompt text that an engine builds from the body of a model
// call. It ends with the role header of the answer, so a prompt followed by its
// answer is a prefix of the next turn's prompt.
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

// PrefixHashes returns one hash for each full block of the prompt, computed over
// the prompt up to the end of that block. Engines use the same hashes in cache
// events.
func PrefixHashes(prompt string, blockTokens int) []uint64 {
	size := blockTokens * bytesPerToken
	hashes := make([]uint64, 0, len(prompt)/size)
	hash := fnv.New64a()
	for len(prompt) >= size {
		hash.Write([]byte(prompt[:size]))
		hashes = append(hashes, hash.Sum64())
		prompt = prompt[size:]
	}
	return hashes
}

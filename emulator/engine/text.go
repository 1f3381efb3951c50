package engine

import (
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"strings"
)

// BytesPerToken is the number of bytes of text that count as one token.
const BytesPerToken = 4

// Message is one message of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Prompt returns the text that the engine processes for the messages. It ends
// with the role header of the answer, so that this prompt and its answer are a
// prefix of the next turn's prompt.
func Prompt(messages []Message) string {
	var b strings.Builder
	for _, m := range messages {
		fmt.Fprintf(&b, "<%s>\n%s\n", m.Role, m.Content)
	}
	b.WriteString("<assistant>\n")
	return b.String()
}

// TokenCount returns the number of tokens in the text, rounded up.
func TokenCount(text string) int { return (len(text) + BytesPerToken - 1) / BytesPerToken }

// PrefixHashes returns one FNV-1a hash per full block of the text, each computed
// over the text from its beginning to the end of the block.
func PrefixHashes(text string, blockTokens int) []uint64 {
	size := blockTokens * BytesPerToken
	hashes := make([]uint64, 0, len(text)/size)
	hash := fnv.New64a()
	for len(text) >= size {
		hash.Write([]byte(text[:size]))
		hashes = append(hashes, hash.Sum64())
		text = text[size:]
	}
	return hashes
}

// AnswerText returns the answer to a request, with the given number of tokens. Its
// content depends only on request id and attempt, and a shorter answer is a
// prefix of a longer one.
func AnswerText(requestID string, attempt, tokens int) string {
	hash := fnv.New64a()
	hash.Write([]byte(requestID))
	hash.Write(binary.LittleEndian.AppendUint64(nil, uint64(attempt)))
	random := rand.New(rand.NewPCG(hash.Sum64(), uint64(attempt)))
	const letters = "abcdefghijklmnopqrstuvwxyz"
	text := make([]byte, 0, tokens*BytesPerToken)
	for range tokens {
		for range BytesPerToken - 1 {
			text = append(text, letters[random.IntN(len(letters))])
		}
		text = append(text, ' ')
	}
	return string(text)
}

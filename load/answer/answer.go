// Package answer defines the text that the engine stand-in generates, so that
// the load tool can tell whole answers from wrong, mixed and truncated ones.
//
// Token i of an answer is "<version>/<i>/<sum> ", in which sum is a hash of the
// loaded weight bytes, the prompt and i.
package answer

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/zeebo/xxh3"

	"github.com/zinniaseam/zinniaseam/adapters/engine"
	"github.com/zinniaseam/zinniaseam/core"
)

// fieldEnd ends the role and the content of each message in a prompt.
const fieldEnd = "\x00"

// Prompt returns the text that an engine generates an answer for.
func Prompt(messages []engine.Message) string {
	var b strings.Builder
	for _, m := range messages {
		b.WriteString(m.Role)
		b.WriteString(fieldEnd)
		b.WriteString(m.Content)
		b.WriteString(fieldEnd)
	}
	return b.String()
}

// Generator is the answer to one prompt by one set of weights.
type Generator struct {
	version core.VersionID
	seed    uint64
}

// NewGenerator returns the answer of the version whose weight bytes have digest whole.
func NewGenerator(version core.VersionID, whole core.Digest, prompt string) Generator {
	return Generator{version: version, seed: xxh3.HashSeed(whole[:], xxh3.HashString(prompt))}
}

// Token returns the text of token offset.
func (s Generator) Token(offset int) string {
	sum := uint32(xxh3.HashStringSeed(string(s.version), s.seed+uint64(offset)))
	return fmt.Sprintf("%s/%d/%08x ", s.version, offset, sum)
}

// Token is a parsed token text.
type Token struct {
	Version core.VersionID
	Offset  int
	Text    string
}

// Parse reads the text of one token.
func Parse(text string) (Token, error) {
	parts := strings.Split(strings.TrimSuffix(text, " "), "/")
	if len(parts) != 3 {
		return Token{}, fmt.Errorf("token %q: want version/offset/sum", text)
	}
	offset, err := strconv.Atoi(parts[1])
	if err != nil {
		return Token{}, fmt.Errorf("token %q: %w", text, err)
	}
	return Token{Version: core.VersionID(parts[0]), Offset: offset, Text: text}, nil
}

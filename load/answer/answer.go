// Package answer defines the text that the engine stand-in generates, so that the
// load tool can distinguish complete answers from wrong, mixed and truncated ones.
//
// Token i of an answer is "<version>/<i>/<sum> ", where sum is a hash of the loaded
// weights, the prompt and i.
package answer

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/zeebo/xxh3"

	"github.com/zinniaseam/zinniaseam/adapters/engine"
	"github.com/zinniaseam/zinniaseam/core"
)

// fieldEnd terminates the role and the content of each message in a prompt.
const fieldEnd = "\x00"

// Prompt returns the prompt text for a list of chat messages.
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

// Generator generates the tokens of the answer of one version to one prompt.
type Generator struct {
	version core.VersionID
	seed    uint64
}

// NewGenerator returns the generator for a prompt and the version whose weights have
// the given digest.
func NewGenerator(version core.VersionID, weights core.Digest, prompt string) Generator {
	return Generator{version: version, seed: xxh3.HashSeed(weights[:], xxh3.HashString(prompt))}
}

// Token returns the text of the token at offset.
func (g Generator) Token(offset int) string {
	sum := uint32(xxh3.HashStringSeed(string(g.version), g.seed+uint64(offset)))
	return fmt.Sprintf("%s/%d/%08x ", g.version, offset, sum)
}

// Token is a parsed token text.
type Token struct {
	Version core.VersionID
	Offset  int
	Text    string
}

// Parse parses the text of one token. It returns an error if the text does not have
// the form version/offset/sum; the sum is not verified.
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

package entry

import (
	"github.com/zeebo/xxh3"

	"github.com/zinniaseam/zinniaseam/adapters/engine"
)

// maxPrefixHashes is the maximum number of hashes per prompt.
const maxPrefixHashes = 16

// prefixHashes returns the hashes of the prompt's prefixes at block boundaries,
// shortest first. They match the identifiers of the blocks in the engines' caches.
func prefixHashes(body *engine.ChatRequest) []uint64 {
	hasher := xxh3.New()
	var hashes []uint64
	pending := 0
	for _, message := range body.Messages {
		text := message.Role + "\x00" + message.Content + "\x00"
		for len(text) > 0 && len(hashes) < maxPrefixHashes {
			size := min(engine.PrefixBlockBytes-pending, len(text))
			_, _ = hasher.WriteString(text[:size])
			text = text[size:]
			pending += size
			if pending == engine.PrefixBlockBytes {
				hashes = append(hashes, hasher.Sum64())
				pending = 0
			}
		}
	}
	return hashes
}

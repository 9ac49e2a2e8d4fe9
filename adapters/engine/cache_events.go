package engine

import (
	"context"
	"fmt"
	"net/http"
)

// PrefixBlockBytes is the number of prompt bytes in one block of the prefix cache. The
// prompt is the role and the content of each message, each terminated by a zero byte.
// CacheEvent.Prefix is the 64-bit XXH3 hash of the prompt up to the end of a block. The
// hashes of engines that use other blocks match no prompt.
const PrefixBlockBytes = 256

// CacheEvents returns the cache events after a sequence number, oldest first.
func (c *Client) CacheEvents(ctx context.Context, after uint64) (*CacheEvents, error) {
	var page CacheEvents
	if err := c.control(ctx, http.MethodGet, fmt.Sprintf("/control/cache-events?after=%d", after), nil, &page); err != nil {
		return nil, err
	}
	return &page, nil
}

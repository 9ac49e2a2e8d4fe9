package platform

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/zinniaseam/zinniaseam/core"
)

// revisionReplyLimit bounds the small JSON answers to writes and lease calls.
const revisionReplyLimit = 4 << 10

// Get returns a value and its modification revision. For a missing key, it returns
// revision 0 and no error.
func (c *Client) Get(ctx context.Context, key string) (value []byte, revision uint64, err error) {
	if err := checkKey(key); err != nil {
		return nil, 0, err
	}
	reply, err := c.do(ctx, call{kind: "get", method: http.MethodGet, path: "/kv/" + key, limit: MaxValueBytes})
	if err != nil {
		return nil, 0, err
	}
	return reply.value()
}

// GetIfChanged is like Get, but returns changed=false and no value if the digest of the
// present value is known.
func (c *Client) GetIfChanged(ctx context.Context, key string, known core.Digest) (value []byte, revision uint64, changed bool, err error) {
	if err := checkKey(key); err != nil {
		return nil, 0, false, err
	}
	reply, err := c.do(ctx, call{kind: "get_unless", method: http.MethodGet, path: "/kv/" + key, noneMatch: EntityTag(known), limit: MaxValueBytes})
	if err != nil {
		return nil, 0, false, err
	}
	if reply.status == http.StatusNotModified && reply.revision > 0 {
		return nil, reply.revision, false, nil
	}
	value, revision, err = reply.value()
	return value, revision, err == nil, err
}

// CompareAndSwap writes value if the key's revision is still previous; 0 means that the key
// must not exist. It returns the new revision, or swapped=false with the present one. After
// ErrOutcomeUnknown the write may have been applied; after ErrRateLimited it was not.
func (c *Client) CompareAndSwap(ctx context.Context, key string, value []byte, previous uint64) (revision uint64, swapped bool, err error) {
	return c.put(ctx, key, value, previous, "")
}

// CompareAndSwapLeased is like CompareAndSwap, but the platform deletes the key when the
// lease expires.
func (c *Client) CompareAndSwapLeased(ctx context.Context, key string, value []byte, previous uint64, lease string) (revision uint64, swapped bool, err error) {
	return c.put(ctx, key, value, previous, lease)
}

func (c *Client) put(ctx context.Context, key string, value []byte, previous uint64, lease string) (uint64, bool, error) {
	if err := checkKey(key); err != nil {
		return 0, false, err
	}
	if len(value) > MaxValueBytes {
		return 0, false, fmt.Errorf("put: %w: value of %d bytes, want at most %d", ErrTooLarge, len(value), MaxValueBytes)
	}
	query := url.Values{"previous": {strconv.FormatUint(previous, 10)}}
	if lease != "" {
		query.Set("lease", lease)
	}
	reply, err := c.do(ctx, call{kind: "put", method: http.MethodPut, path: "/kv/" + key, query: query, body: value, limit: revisionReplyLimit})
	if err != nil {
		return 0, false, err
	}
	if reply.status == http.StatusNotFound {
		return 0, false, fmt.Errorf("put %s: %w: lease %s", key, ErrLeaseExpired, lease)
	}
	var decoded RevisionReply
	if err := json.Unmarshal(reply.body, &decoded); err != nil {
		return 0, false, fmt.Errorf("put: %w: %v", ErrOutcomeUnknown, err)
	}
	return decoded.Revision, reply.status == http.StatusOK, nil
}

// Watch waits until the revision of key differs from after, at most wait. It returns
// changed=false if the revision stays the same. A deleted key has revision 0.
func (c *Client) Watch(ctx context.Context, key string, after uint64, wait time.Duration) (value []byte, revision uint64, changed bool, err error) {
	if err := checkKey(key); err != nil {
		return nil, 0, false, err
	}
	query := waitQuery(after, wait)
	query.Set("key", key)
	reply, err := c.do(ctx, call{kind: "watch", method: http.MethodGet, path: "/watch", query: query, wait: wait, limit: MaxValueBytes})
	if err != nil || reply.status == http.StatusNoContent {
		return nil, after, false, err
	}
	value, revision, err = reply.value()
	return value, revision, err == nil && revision != after, err
}

// List returns the keys that start with prefix.
func (c *Client) List(ctx context.Context, prefix string) ([]KeyRevision, error) {
	query := url.Values{"prefix": {prefix}}
	reply, err := c.do(ctx, call{kind: "list", method: http.MethodGet, path: "/list", query: query, limit: maxListBytes})
	if err != nil {
		return nil, err
	}
	var decoded ListReply
	if err := json.Unmarshal(reply.body, &decoded); err != nil {
		return nil, fmt.Errorf("list: %w: %v", ErrProtocol, err)
	}
	return decoded.Keys, nil
}

func (a answer) value() ([]byte, uint64, error) {
	switch {
	case a.status == http.StatusNotFound:
		return nil, 0, nil
	case a.status != http.StatusOK:
		return nil, 0, fmt.Errorf("%w: status %d", ErrProtocol, a.status)
	case a.revision == 0:
		return nil, 0, fmt.Errorf("%w: missing header %s", ErrProtocol, HeaderRevision)
	}
	return a.body, a.revision, nil
}

func waitQuery(after uint64, wait time.Duration) url.Values {
	return url.Values{
		"after":   {strconv.FormatUint(after, 10)},
		"wait_ms": {strconv.FormatInt(max(wait, 0).Milliseconds(), 10)},
	}
}

// checkKey rejects keys that are too long, and keys that would be altered in a URL path.
func checkKey(key string) error {
	if len(key) > maxKeyBytes {
		return fmt.Errorf("%w: key of %d bytes, want at most %d", ErrTooLarge, len(key), maxKeyBytes)
	}
	for segment := range strings.SplitSeq(key, "/") {
		if segment == "" || segment == "." || segment == ".." {
			return fmt.Errorf("%w: %q", ErrBadKey, key)
		}
	}
	return nil
}

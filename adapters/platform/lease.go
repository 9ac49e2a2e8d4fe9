package platform

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"
)

// CreateLease creates a lease that expires ttl after its last keep-alive. After
// ErrOutcomeUnknown an unused lease may exist until it expires.
func (c *Client) CreateLease(ctx context.Context, ttl time.Duration) (id string, err error) {
	query := url.Values{"ttl_ms": {strconv.FormatInt(ttl.Milliseconds(), 10)}}
	reply, err := c.do(ctx, call{kind: "lease_create", method: http.MethodPost, path: "/leases", query: query, limit: revisionReplyLimit})
	if err != nil {
		return "", err
	}
	var decoded LeaseReply
	if err := json.Unmarshal(reply.body, &decoded); err != nil || decoded.ID == "" {
		return "", fmt.Errorf("lease_create: %w: status %d", ErrProtocol, reply.status)
	}
	return decoded.ID, nil
}

// KeepAlive renews the lease for its time to live. It returns ErrLeaseExpired if the lease
// does not exist any more.
func (c *Client) KeepAlive(ctx context.Context, id string) error {
	return c.leaseCall(ctx, "lease_keep_alive", http.MethodPut, id)
}

// RevokeLease ends the lease at once. It returns ErrLeaseExpired if the lease has already
// expired.
func (c *Client) RevokeLease(ctx context.Context, id string) error {
	return c.leaseCall(ctx, "lease_revoke", http.MethodDelete, id)
}

func (c *Client) leaseCall(ctx context.Context, kind, method, id string) error {
	if err := checkKey(id); err != nil {
		return err
	}
	reply, err := c.do(ctx, call{kind: kind, method: method, path: "/leases/" + id, limit: revisionReplyLimit})
	if err != nil {
		return err
	}
	if reply.status == http.StatusNotFound {
		return fmt.Errorf("%s %s: %w", kind, id, ErrLeaseExpired)
	}
	return nil
}

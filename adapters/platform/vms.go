package platform

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// VMs waits at most wait until the revision of the VM list differs from after, and returns
// the list. It returns changed=false if the revision stays the same.
func (c *Client) VMs(ctx context.Context, after uint64, wait time.Duration) (list VMListReply, changed bool, err error) {
	reply, err := c.do(ctx, call{kind: "vms", method: http.MethodGet, path: "/vms", query: waitQuery(after, wait), wait: wait, limit: maxListBytes})
	if err != nil || reply.status == http.StatusNoContent {
		return VMListReply{}, false, err
	}
	if reply.status != http.StatusOK {
		return VMListReply{}, false, fmt.Errorf("vms: %w: status %d", ErrProtocol, reply.status)
	}
	if err := json.Unmarshal(reply.body, &list); err != nil {
		return VMListReply{}, false, fmt.Errorf("vms: %w: %v", ErrProtocol, err)
	}
	return list, true, nil
}

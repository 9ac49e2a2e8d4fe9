package entry

import (
	"github.com/zinniaseam/zinniaseam/adapters/platform"
	"github.com/zinniaseam/zinniaseam/configsync"
	"github.com/zinniaseam/zinniaseam/node"
)

// NewSyncer returns the duty that follows the configuration and the VM list of the
// platform and passes both to the node.
func NewSyncer(n *node.Node, client *platform.Client) *configsync.Syncer {
	config := configsync.Config{
		Client: client, Self: n.VM, Zone: n.Zone, Holder: n.Holder, Clock: n.Recorder.Clock(),
		Log: n.Log, Ready: n.Settled, PullFromPeers: n.Refresh, Orders: n.ZoneOrders,
	}
	config.VMsChanged = func() { n.UpdateVMs(n.Holder.VMs()) }
	return configsync.New(config)
}

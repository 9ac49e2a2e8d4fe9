package faulttest

import (
	"fmt"
	"net"

	"github.com/zinniaseam/zinniaseam/core"
)

// commonFlags returns the flags shared by all processes. In a relayed cluster it
// also starts the relays of the VM.
func (c *cluster) commonFlags(vm *core.VM) []string {
	listen := vm.PeerAddr
	ip, port, _ := net.SplitHostPort(listen)
	c.zoneOf[ip] = vm.Zone
	if c.relayed {
		vm.PeerAddr = net.JoinHostPort(newIP(), port)
		c.peerRelays[vm.ID] = c.startRelay(vm.PeerAddr, listen)
	}
	args := []string{"-vm", string(vm.ID), "-zone", string(vm.Zone), "-region", string(vm.Region),
		"-peer-listen", listen, "-peer-advertise", vm.PeerAddr, "-platform-url", c.platformURL(vm.Zone), "-peer-key", peerKey, "-stop-timeout", "20s"}
	return append(args, c.certificateFlags(ip)...)
}

func (c *cluster) startRelay(listen, target string) *relay {
	r, err := newRelay(listen, target)
	if err != nil {
		c.t.Fatal(err)
	}
	return r
}

// platformURL returns the platform URL for the processes of a zone: that of the
// zone's relay in a relayed cluster.
func (c *cluster) platformURL(zone core.ZoneID) string {
	return c.zoneURL(c.platformFor, zone, c.platform, portPlatform)
}

func (c *cluster) originURL(zone core.ZoneID) string {
	return c.zoneURL(c.originFor, zone, c.origin, portOrigin)
}

func (c *cluster) zoneURL(urls map[core.ZoneID]string, zone core.ZoneID, base string, port int) string {
	if !c.relayed {
		return base
	}
	if urls[zone] == "" {
		addr := fmt.Sprintf("%s:%d", newIP(), port)
		urls[zone] = "http://" + addr
		c.zoneRelays[zone] = append(c.zoneRelays[zone], c.startRelay(addr, base[7:]))
	}
	return urls[zone]
}

// partition disconnects a zone from the platform, the origin and all other zones.
func (c *cluster) partition(zone core.ZoneID) {
	for _, r := range c.zoneRelays[zone] {
		r.block(func(string) bool { return true })
	}
	for id, r := range c.peerRelays {
		inside := c.vmZone(id) == zone
		r.block(func(source string) bool { return (c.zoneOf[source] == zone) != inside })
	}
}

// healPartitions ends all partitions.
func (c *cluster) healPartitions() {
	for _, r := range c.peerRelays {
		r.block(nil)
	}
	for _, relays := range c.zoneRelays {
		for _, r := range relays {
			r.block(nil)
		}
	}
}

func (c *cluster) vmZone(id core.VMID) core.ZoneID {
	for _, vm := range c.vms {
		if vm.ID == id {
			return vm.Zone
		}
	}
	return ""
}

package transfer

import (
	"slices"
	"sync"

	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/spread"
)

const (
	// maxRegions bounds the regions that a budget is kept for.
	maxRegions = 64
	// regionSlots bounds the chunks being sent to one region at once.
	regionSlots = 2
)

// regionPacers keeps this machine's share of the budget of each link to
// another region. The share is the budget over the number of the link's
// gateways; a machine that is none has no share.
type regionPacers struct {
	mu      sync.Mutex
	rate    int64
	burst   int
	version core.VersionID
	self    spread.Member
	members []spread.Member
	links   map[core.RegionID]*regionLink
}

// regionLink is this machine's share of the link to one region. Few chunks go
// at once, so that each arrives early and can be passed on.
type regionLink struct {
	pace  *pacer
	slots *slotQueue
	// senders is how many machines share the link; 0 when this one is none of them.
	senders int
	// governed bounds the link's budget below the set one while governs is true.
	governed int64
	governs  bool
	// users counts the chunks being sent or waiting; receiver asked for the last.
	users    int
	receiver core.VMID
}

func newRegionPacers(rate int64, burst int) *regionPacers {
	return &regionPacers{rate: rate, burst: burst, links: map[core.RegionID]*regionLink{}}
}

// setRate changes the budget of every link; 0 pauses all.
func (r *regionPacers) setRate(bytesPerSecond int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rate = bytesPerSecond
	for _, link := range r.links {
		link.pace.setRate(r.share(link))
	}
}

// setMembers works out the shares of this machine.
func (r *regionPacers) setMembers(version core.VersionID, self spread.Member, members []spread.Member) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.version, r.self, r.members = version, self, members
	for region, link := range r.links {
		link.senders = r.senders(region)
		link.pace.setRate(r.share(link))
	}
}

// senders returns how many gateways send to a region, 0 when self is not one.
func (r *regionPacers) senders(region core.RegionID) int {
	members := r.members
	if !r.self.Relay {
		// Asked by machines that have no answer from the relays.
		members = slices.DeleteFunc(slices.Clone(members), func(m spread.Member) bool { return m.Relay && m.Region == r.self.Region })
	}
	gateways := spread.Gateways(r.version, r.self.Region, region, members)
	isGateway := slices.ContainsFunc(gateways, func(m spread.Member) bool { return m.ID == r.self.ID })
	if !isGateway {
		return 0
	}
	return len(gateways)
}

func (r *regionPacers) share(link *regionLink) float64 {
	if link.senders == 0 {
		return 0
	}
	budget := r.rate
	if link.governs {
		budget = min(budget, link.governed)
	}
	return float64(budget) / float64(link.senders)
}

// govern changes the budget of one link, within the set one.
func (r *regionPacers) govern(region core.RegionID, bytesPerSecond int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if link, ok := r.links[region]; ok {
		link.governed, link.governs = bytesPerSecond, true
		link.pace.setRate(r.share(link))
	}
}

// use marks the link as in use by receiver until the returned function is called.
func (r *regionPacers) use(link *regionLink, receiver core.VMID) (done func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	link.users++
	link.receiver = receiver
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		link.users--
	}
}

// linkUse says who asked last over a link in use and how many machines share it.
type linkUse struct {
	receiver core.VMID
	senders  int
}

// inUse lists the links in use.
func (r *regionPacers) inUse() map[core.RegionID]linkUse {
	r.mu.Lock()
	defer r.mu.Unlock()
	uses := map[core.RegionID]linkUse{}
	for region, link := range r.links {
		if link.users > 0 {
			uses[region] = linkUse{receiver: link.receiver, senders: link.senders}
		}
	}
	return uses
}

// get returns the link to a region; false when this machine may not send there.
func (r *regionPacers) get(region core.RegionID) (*regionLink, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	link, ok := r.links[region]
	if !ok {
		senders := r.senders(region)
		if senders == 0 || len(r.links) >= maxRegions {
			return nil, false
		}
		link = &regionLink{pace: newPacer(1, r.burst), slots: newSlotQueue(regionSlots), senders: senders}
		link.pace.setRate(r.share(link))
		r.links[region] = link
	}
	return link, link.senders > 0
}

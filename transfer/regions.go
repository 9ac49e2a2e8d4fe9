package transfer

import (
	"slices"
	"sync"

	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/spread"
)

const (
	// maxRegions limits the number of regions with a link budget.
	maxRegions = 64
	// regionSlots limits the chunks that are being sent to one region at
	// once.
	regionSlots = 2
	// formerVersions is for how many versions before the target version a machine still sends
	// what it sent as their gateway, and formerShare the part of the budget that the gateways
	// of one of them together use.
	formerVersions = 2
	formerShare    = 0.25
)

// regionPacers keeps this machine's share of the budget of each link to another
// region. The share is the budget divided by the number of gateways of the
// link; a machine that is not a gateway has no share.
type regionPacers struct {
	mu      sync.Mutex
	rate    int64
	burst   int
	version core.VersionID
	// former are the versions before, the latest first.
	former  []core.VersionID
	self    spread.Member
	members []spread.Member
	links   map[core.RegionID]*regionLink
}

// regionLink is this machine's share of the link to one region. Only a few
// chunks are sent at once, so that each arrives early and can be passed on.
type regionLink struct {
	pacer *pacer
	slots *slotQueue
	// gatewayCount is the number of gateways of the link; 0 when this machine is
	// not one of them. formerCount is the same for a former version.
	gatewayCount, formerCount int
	// governed limits the budget of the link below the configured one while
	// isGoverned is true.
	governed   int64
	isGoverned bool
	// users counts the chunks that are being sent or are waiting; receiver is the
	// machine that requested the last one.
	users    int
	receiver core.VMID
}

func newRegionPacers(rate int64, burst int) *regionPacers {
	return &regionPacers{rate: rate, burst: burst, links: map[core.RegionID]*regionLink{}}
}

// setRate changes the budget of every link, in bytes per second; 0 pauses all
// links.
func (r *regionPacers) setRate(bytesPerSecond int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rate = bytesPerSecond
	for _, link := range r.links {
		link.pacer.setRate(r.share(link))
	}
}

// setMembers recomputes the shares of this machine.
func (r *regionPacers) setMembers(version core.VersionID, self spread.Member, members []spread.Member) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if version != r.version && r.version != "" {
		r.former = append([]core.VersionID{r.version}, r.former[:min(len(r.former), formerVersions-1)]...)
	}
	r.version, r.self, r.members = version, self, members
	for region, link := range r.links {
		r.setCounts(link, region)
		link.pacer.setRate(r.share(link))
	}
}

// setCounts sets the numbers of gateways of a link.
//
// Load pattern: a version is declared while the one before is under way. Its gateways differ.
// If those of the version before stopped sending, the chunks that they have not sent would be
// missing in the other regions, which go on asking them, and nobody could complete it.
func (r *regionPacers) setCounts(link *regionLink, region core.RegionID) {
	link.gatewayCount, link.formerCount = r.gatewayCount(r.version, region), 0
	for _, version := range r.former {
		link.formerCount = max(link.formerCount, r.gatewayCount(version, region))
	}
}

// gatewayCount returns the number of gateways of a version to a region; 0 when self is not one.
func (r *regionPacers) gatewayCount(version core.VersionID, region core.RegionID) int {
	members := r.members
	if !r.self.Relay {
		// Such a machine is asked only when no relay responds, so relays do not
		// count.
		members = slices.DeleteFunc(slices.Clone(members), func(m spread.Member) bool { return m.Relay && m.Region == r.self.Region })
	}
	gateways := spread.Gateways(version, r.self.Region, region, members)
	isGateway := slices.ContainsFunc(gateways, func(m spread.Member) bool { return m.ID == r.self.ID })
	if !isGateway {
		return 0
	}
	return len(gateways)
}

func (r *regionPacers) share(link *regionLink) float64 {
	budget := r.rate
	if link.isGoverned {
		budget = min(budget, link.governed)
	}
	switch {
	case link.gatewayCount > 0:
		return float64(budget) / float64(link.gatewayCount)
	case link.formerCount > 0:
		return formerShare * float64(budget) / float64(link.formerCount)
	default:
		return 0
	}
}

// setGovernedRate changes the budget of one link, up to the configured budget.
func (r *regionPacers) setGovernedRate(region core.RegionID, bytesPerSecond int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if link, ok := r.links[region]; ok {
		link.governed, link.isGoverned = bytesPerSecond, true
		link.pacer.setRate(r.share(link))
	}
}

// use marks a link as in use by receiver until done is called.
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

// linkUse holds the latest receiver on a link in use and the number of gateways
// of the link.
type linkUse struct {
	receiver     core.VMID
	gatewayCount int
}

// inUse returns the links in use.
func (r *regionPacers) inUse() map[core.RegionID]linkUse {
	r.mu.Lock()
	defer r.mu.Unlock()
	uses := map[core.RegionID]linkUse{}
	for region, link := range r.links {
		if link.users > 0 {
			uses[region] = linkUse{receiver: link.receiver, gatewayCount: link.gatewayCount}
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
		link = &regionLink{pacer: newPacer(1, r.burst), slots: newSlotQueue(regionSlots)}
		r.setCounts(link, region)
		if link.gatewayCount+link.formerCount == 0 || len(r.links) >= maxRegions {
			return nil, false
		}
		link.pacer.setRate(r.share(link))
		r.links[region] = link
	}
	return link, link.gatewayCount+link.formerCount > 0
}

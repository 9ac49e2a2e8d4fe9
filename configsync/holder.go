package configsync

import (
	"sync"

	"github.com/zinniaseam/zinniaseam/adapters/platform"
	"github.com/zinniaseam/zinniaseam/catalogue"
)

// maxSuperseded is the number of superseded documents that a Holder retains, so that
// a rejected publish can report what changed since its base.
const maxSuperseded = 4

// Conflict describes two documents with the same revision. It arises when a
// store that lost data accepts a revision for the second time.
type Conflict struct {
	Kept    ID `json:"kept"`
	Dropped ID `json:"dropped"`
}

// Holder keeps the newest known document and VM list. Their revisions never
// decrease. It is safe for concurrent use.
type Holder struct {
	mu            sync.Mutex
	current       *Document
	superseded    []*Document
	vms           platform.VMListReply
	vmRegressions uint64
	conflicts     uint64
	last          *Conflict
	subscribers   []chan *Document
}

// NewHolder returns an empty Holder.
func NewHolder() *Holder { return &Holder{} }

// Offer replaces the current document if doc, received from the store or a
// peer, is newer. A different document with the same revision is counted as a
// conflict.
func (h *Holder) Offer(doc *Document) (changed bool) {
	if doc == nil {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	order := Compare(doc, h.current)
	h.recordConflict(doc, order)
	if order <= 0 {
		return false
	}
	if h.current != nil {
		h.superseded = append([]*Document{h.current}, h.superseded[:min(len(h.superseded), maxSuperseded-1)]...)
	}
	h.current = doc
	for _, subscriber := range h.subscribers {
		replace(subscriber, doc)
	}
	return true
}

func (h *Holder) recordConflict(doc *Document, order int) {
	if h.current == nil || order == 0 || doc.Revision != h.current.Revision {
		return
	}
	h.conflicts++
	counters.Add("conflicts", 1)
	h.last = &Conflict{Kept: h.current.ID, Dropped: doc.ID}
	if order > 0 {
		h.last = &Conflict{Kept: doc.ID, Dropped: h.current.ID}
	}
}

// replace sends doc on a channel with a buffer of one, dropping an unread
// document. The send never blocks, because the holder is the only sender and
// sends with its lock held.
func replace(subscriber chan *Document, doc *Document) {
	select {
	case <-subscriber:
	default:
	}
	subscriber <- doc
}

// Current returns the newest known document, or nil.
func (h *Holder) Current() *Document {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.current
}

// Subscribe returns a channel that receives the current document and every
// newer one. A newer document replaces an unread one.
func (h *Holder) Subscribe() <-chan *Document {
	h.mu.Lock()
	defer h.mu.Unlock()
	subscriber := make(chan *Document, 1)
	if h.current != nil {
		subscriber <- h.current
	}
	h.subscribers = append(h.subscribers, subscriber)
	return subscriber
}

// SetAt returns the set of a revision, or nil if the revision is not retained.
func (h *Holder) SetAt(revision uint64) *catalogue.Set {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.current != nil && h.current.Revision == revision {
		return &h.current.Set
	}
	for _, doc := range h.superseded {
		if doc.Revision == revision {
			return &doc.Set
		}
	}
	return nil
}

// Conflicts returns the number of conflicts seen and the most recent one.
func (h *Holder) Conflicts() (count uint64, last *Conflict) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.conflicts, h.last
}

// OfferVMs replaces the VM list if list is newer. An older list is counted as a
// regression.
func (h *Holder) OfferVMs(list platform.VMListReply) (changed bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if list.Revision < h.vms.Revision {
		h.vmRegressions++
		counters.Add("vms_went_back", 1)
	}
	if list.Revision <= h.vms.Revision {
		return false
	}
	h.vms = list
	return true
}

// VMs returns the newest known VM list. Its revision is 0 if none is known.
func (h *Holder) VMs() platform.VMListReply {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.vms
}

// VMsRegressions returns the number of VM lists offered that were older than
// the known one.
func (h *Holder) VMsRegressions() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.vmRegressions
}

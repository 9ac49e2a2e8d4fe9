package configsync

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"maps"

	"github.com/zinniaseam/zinniaseam/adapters/platform"
	"github.com/zinniaseam/zinniaseam/catalogue"
	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/hlc"
)

// Key is the platform key of the published document.
const Key = "config/current"

// maxLineage is the maximum length of Document.Lineage.
const maxLineage = 32

// Errors wrapped by the errors of Decode and Document.Encode.
var (
	ErrDocument = errors.New("configsync: malformed document")
	ErrTooLarge = errors.New("configsync: document too large")
)

// ID identifies one published revision.
type ID struct {
	Revision uint64 `json:"revision"`
	// Digest is the SHA-256 digest of the set's JSON encoding.
	Digest string    `json:"digest"`
	Author string    `json:"author"`
	Stamp  hlc.Stamp `json:"stamp"`
	// Draft is a truncated digest of the set as submitted, before zone states
	// were filled in. It identifies a retried publish.
	Draft string `json:"draft,omitempty"`
}

// Document is one published revision of the configuration. It is immutable.
type Document struct {
	ID
	// Base is the revision that this document replaces.
	Base uint64 `json:"base"`
	// ZoneStamps holds the time of the last decision on the state of each zone.
	ZoneStamps map[core.ZoneID]hlc.Stamp `json:"zoneStamps,omitempty"`
	// Lineage lists the preceding revisions, newest first, at most maxLineage.
	Lineage []ID          `json:"lineage,omitempty"`
	Set     catalogue.Set `json:"set"`
}

// draftDigestChars is the length of ID.Draft in hexadecimal digits.
const draftDigestChars = 32

// digestOf returns the SHA-256 digest of the set's JSON encoding.
func digestOf(set *catalogue.Set) string {
	data, err := json.Marshal(set)
	if err != nil {
		panic(fmt.Sprintf("configsync: a set cannot be written as JSON: %v", err))
	}
	return core.DigestOf(data).String()
}

// Encode returns the stored form of the document. It returns ErrTooLarge if the
// result exceeds platform.MaxValueBytes.
func (d *Document) Encode() ([]byte, error) {
	data, err := json.Marshal(d)
	if err != nil {
		return nil, fmt.Errorf("%w: %v", ErrDocument, err)
	}
	if len(data) > platform.MaxValueBytes {
		return nil, fmt.Errorf("%w: %d bytes, want at most %d", ErrTooLarge, len(data), platform.MaxValueBytes)
	}
	return data, nil
}

// Decode parses a document received from the store or a peer. If the document
// has no digest, Decode computes it; otherwise the digest must match the set.
func Decode(data []byte) (*Document, error) {
	if len(data) > platform.MaxValueBytes {
		return nil, fmt.Errorf("%w: %d bytes, want at most %d", ErrTooLarge, len(data), platform.MaxValueBytes)
	}
	var d Document
	if err := json.Unmarshal(data, &d); err != nil {
		return nil, fmt.Errorf("%w: %v", ErrDocument, err)
	}
	if d.Revision == 0 {
		return nil, fmt.Errorf("%w: revision is 0", ErrDocument)
	}
	if len(d.Lineage) > maxLineage {
		return nil, fmt.Errorf("%w: lineage of %d revisions, want at most %d", ErrDocument, len(d.Lineage), maxLineage)
	}
	digest := digestOf(&d.Set)
	if d.Digest == "" {
		d.Digest = digest
	}
	if d.Digest != digest {
		return nil, fmt.Errorf("%w: digest does not match the set, whose digest is %s", ErrDocument, digest)
	}
	return &d, nil
}

// Compare orders documents by revision, then stamp, then digest. Nil is the
// smallest. Every process keeps the greatest document, so all processes
// converge even if a store that lost data accepted the same revision twice.
func Compare(a, b *Document) int {
	switch {
	case a == nil && b == nil:
		return 0
	case a == nil:
		return -1
	case b == nil:
		return 1
	}
	return cmp.Or(cmp.Compare(a.Revision, b.Revision), cmp.Compare(a.Stamp, b.Stamp), cmp.Compare(a.Digest, b.Digest))
}

// idAt returns the ID of the given revision, looked up in the document itself
// and its lineage.
func (d *Document) idAt(revision uint64) (ID, bool) {
	if d == nil {
		return ID{}, false
	}
	if d.Revision == revision {
		return d.ID, true
	}
	for _, id := range d.Lineage {
		if id.Revision == revision {
			return id, true
		}
	}
	return ID{}, false
}

// Contains reports whether id identifies the document or a revision in its
// lineage.
func (d *Document) Contains(id ID) bool {
	found, ok := d.idAt(id.Revision)
	return ok && found == id
}

// revisionOf returns the revision of d, or 0 if d is nil.
func revisionOf(d *Document) uint64 {
	if d == nil {
		return 0
	}
	return d.Revision
}

// setOf returns the set of d, or an empty set if d is nil.
func setOf(d *Document) *catalogue.Set {
	if d == nil {
		return &catalogue.Set{}
	}
	return &d.Set
}

// Draft is the content of a document that has no revision yet.
type Draft struct {
	Set    *catalogue.Set
	Author string
	// DecidedAt holds the decision time of zone states that were decided before
	// the publish. Other zones whose state changes get the stamp of the document.
	DecidedAt map[core.ZoneID]hlc.Stamp
	// KeepZoneStates copies the zone states that the set leaves empty from the base.
	KeepZoneStates bool
}

// digest identifies the set as submitted; see ID.Draft.
func (d Draft) digest() string { return digestOf(d.Set)[:draftDigestChars] }

// resolveZoneStates returns the set to publish on base.
func (d Draft) resolveZoneStates(base *catalogue.Set) *catalogue.Set {
	if !d.KeepZoneStates {
		return d.Set
	}
	return catalogue.KeepZoneStates(base, d.Set)
}

// nextDocument builds the successor of base. Its stamp is greater than that of base.
func nextDocument(base *Document, draft Draft, stamp hlc.Stamp) *Document {
	if base != nil {
		stamp = max(stamp, base.Stamp+1)
	}
	set := draft.resolveZoneStates(setOf(base))
	d := &Document{
		ID:   ID{Revision: revisionOf(base) + 1, Digest: digestOf(set), Author: draft.Author, Stamp: stamp, Draft: draft.digest()},
		Base: revisionOf(base), Set: *set, ZoneStamps: zoneStamps(base, set, draft.DecidedAt, stamp),
	}
	if base != nil {
		d.Lineage = append([]ID{base.ID}, base.Lineage[:min(len(base.Lineage), maxLineage-1)]...)
	}
	return d
}

// zoneStamps returns the zone stamps of the successor of base: a zone whose
// state changes gets stamp, a zone in decided gets the given time if that is
// newer, and every other zone keeps its stamp.
func zoneStamps(base *Document, set *catalogue.Set, decided map[core.ZoneID]hlc.Stamp, stamp hlc.Stamp) map[core.ZoneID]hlc.Stamp {
	before := map[core.ZoneID]catalogue.ZoneState{}
	kept := map[core.ZoneID]hlc.Stamp{}
	if base != nil {
		for _, zone := range base.Set.Zones {
			before[zone.Name] = zone.State
		}
		kept = maps.Clone(base.ZoneStamps)
	}
	stamps := make(map[core.ZoneID]hlc.Stamp, len(set.Zones))
	for _, zone := range set.Zones {
		state, existed := before[zone.Name]
		stamps[zone.Name] = kept[zone.Name]
		if existed && (state == catalogue.ZoneOut) != (zone.State == catalogue.ZoneOut) {
			stamps[zone.Name] = stamp
		}
		if at, ok := decided[zone.Name]; ok {
			stamps[zone.Name] = max(kept[zone.Name], at)
		}
	}
	return stamps
}

package membership

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/zinniaseam/zinniaseam/configsync/delta"
	"github.com/zinniaseam/zinniaseam/peerpb"
)

// Bounds of the documents kept.
const (
	// MaxDocumentBytes bounds one document.
	MaxDocumentBytes = 8 << 20
	// keptBases and keptBaseBytes bound the former documents of a kind against
	// which changes are made.
	keptBases     = 8
	keptBaseBytes = 8 << 20
	// FetchTimeout is how long a process waits for documents from the peer that
	// it asked before it asks another.
	FetchTimeout = time.Second
)

// Document is a revisioned body that only moves forward.
type Document struct {
	Revision uint64
	JSON     []byte
}

// Hash identifies the body, 0 when there is none.
func (d Document) Hash() uint64 {
	if len(d.JSON) == 0 {
		return 0
	}
	return delta.Hash(d.JSON)
}

// documents is the newest document of one kind with some former ones.
type documents struct {
	newest Document
	// bases holds former documents by hash; order has their hashes, oldest first.
	bases map[uint64][]byte
	order []uint64
	// changes holds what leads from each base to the newest, as far as it was asked for.
	changes map[uint64]*peerpb.DocumentChange
}

// set replaces the newest document and keeps the former one as a base.
func (d *documents) set(doc Document) {
	if former := d.newest; len(former.JSON) > 0 {
		d.keep(former)
	}
	d.newest = doc
	d.changes = map[uint64]*peerpb.DocumentChange{}
}

// offer replaces the newest document by a newer one.
func (d *documents) offer(doc Document) bool {
	if doc.Revision <= d.newest.Revision || len(doc.JSON) == 0 {
		return false
	}
	d.set(doc)
	return true
}

func (d *documents) keep(former Document) {
	if d.bases == nil {
		d.bases = map[uint64][]byte{}
	}
	hash := former.Hash()
	if _, held := d.bases[hash]; held {
		return
	}
	d.bases[hash] = former.JSON
	d.order = append(d.order, hash)
	for len(d.order) > keptBases || d.baseBytes() > keptBaseBytes {
		delete(d.bases, d.order[0])
		d.order = d.order[1:]
	}
}

func (d *documents) baseBytes() int {
	total := 0
	for _, base := range d.bases {
		total += len(base)
	}
	return total
}

// body returns the newest document for a process that holds the base: as a
// change, or whole when the base is not kept or the change is not shorter.
func (d *documents) body(base uint64) (json []byte, change *peerpb.DocumentChange) {
	held, known := d.bases[base]
	if !known {
		return d.newest.JSON, nil
	}
	change = d.changes[base]
	if change == nil {
		change = delta.Make(held, d.newest.JSON)
		d.changes[base] = change
	}
	if proto.Size(change) >= len(d.newest.JSON) {
		return d.newest.JSON, nil
	}
	return nil, change
}

// ResolveBody returns the whole body of a document that a peer sent whole or as a
// change against held.
func ResolveBody(held Document, json []byte, change *peerpb.DocumentChange) ([]byte, error) {
	if change == nil {
		return json, nil
	}
	return delta.Apply(held.JSON, change, MaxDocumentBytes)
}

// Fetch decides whom a process asks for a document of one kind: one peer at a
// time. It is not safe for concurrent use.
type Fetch struct {
	until time.Time
	whole bool
}

// Claim reports whether the document may be asked for now. From then on no
// other peer is asked, until Done or for FetchTimeout.
func (f *Fetch) Claim(now time.Time) bool {
	if now.Before(f.until) {
		return false
	}
	f.until = now.Add(FetchTimeout)
	return true
}

// Done ends a claim. After a change that could not be applied the next
// document is asked for whole.
func (f *Fetch) Done(applied bool) {
	f.until = time.Time{}
	f.whole = !applied
}

// Base returns the hash to ask with for what is newer than held.
func (f *Fetch) Base(held Document) uint64 {
	if f.whole {
		return 0
	}
	return held.Hash()
}

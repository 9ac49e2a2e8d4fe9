package membership

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/zinniaseam/zinniaseam/configsync/delta"
	"github.com/zinniaseam/zinniaseam/peerpb"
)

// Limits on stored documents and on requests for them.
const (
	// MaxDocumentBytes is the maximum size of one document.
	MaxDocumentBytes = 8 << 20
	// maxBases and maxBaseBytes limit the number and total size of the
	// superseded documents of one kind that are retained as bases for deltas.
	maxBases     = 8
	maxBaseBytes = 8 << 20
	// FetchTimeout is how long a process waits for a document from one peer
	// before it may request it from another.
	FetchTimeout = time.Second
)

// Document is the body of a document with its revision.
type Document struct {
	Revision uint64
	JSON     []byte
}

// Hash returns the hash that identifies the body, or 0 if the body is empty.
func (d Document) Hash() uint64 {
	if len(d.JSON) == 0 {
		return 0
	}
	return delta.Hash(d.JSON)
}

// documents holds the newest document of one kind and some superseded ones.
type documents struct {
	newest Document
	// bases maps hashes to superseded documents; baseOrder lists the hashes,
	// oldest first.
	bases     map[uint64][]byte
	baseOrder []uint64
	// changes caches the deltas to newest by hash of the base. They are computed
	// on request.
	changes map[uint64]*peerpb.DocumentChange
}

// set replaces the newest document and retains the previous one as a base.
func (d *documents) set(doc Document) {
	if previous := d.newest; len(previous.JSON) > 0 {
		d.retainBase(previous)
	}
	d.newest = doc
	d.changes = map[uint64]*peerpb.DocumentChange{}
}

// offer replaces the newest document if doc is newer and not empty.
func (d *documents) offer(doc Document) bool {
	if doc.Revision <= d.newest.Revision || len(doc.JSON) == 0 {
		return false
	}
	d.set(doc)
	return true
}

// retainBase stores a superseded document as a base and evicts the oldest bases
// beyond the limits.
func (d *documents) retainBase(previous Document) {
	if d.bases == nil {
		d.bases = map[uint64][]byte{}
	}
	hash := previous.Hash()
	if _, exists := d.bases[hash]; exists {
		return
	}
	d.bases[hash] = previous.JSON
	d.baseOrder = append(d.baseOrder, hash)
	for len(d.baseOrder) > maxBases || d.baseBytes() > maxBaseBytes {
		delete(d.bases, d.baseOrder[0])
		d.baseOrder = d.baseOrder[1:]
	}
}

func (d *documents) baseBytes() int {
	total := 0
	for _, base := range d.bases {
		total += len(base)
	}
	return total
}

// body returns the newest document for a process that has the given base. The
// result is a delta, or the full document if the base is not retained or the
// delta is not smaller.
func (d *documents) body(base uint64) (json []byte, change *peerpb.DocumentChange) {
	baseText, known := d.bases[base]
	if !known {
		return d.newest.JSON, nil
	}
	change = d.changes[base]
	if change == nil {
		change = delta.Make(baseText, d.newest.JSON)
		d.changes[base] = change
	}
	if proto.Size(change) >= len(d.newest.JSON) {
		return d.newest.JSON, nil
	}
	return nil, change
}

// ResolveBody returns the full body of a document that a peer sent either in
// full, as json, or as a change relative to current.
func ResolveBody(current Document, json []byte, change *peerpb.DocumentChange) ([]byte, error) {
	if change == nil {
		return json, nil
	}
	return delta.Apply(current.JSON, change, MaxDocumentBytes)
}

// Fetch ensures that a document of one kind is requested from at most one peer
// at a time. It is not safe for concurrent use.
type Fetch struct {
	pendingUntil time.Time
	requestFull  bool
}

// Claim reports whether the document may be requested now. If it returns true,
// further calls return false until Done is called or FetchTimeout has passed.
func (f *Fetch) Claim(now time.Time) bool {
	if now.Before(f.pendingUntil) {
		return false
	}
	f.pendingUntil = now.Add(FetchTimeout)
	return true
}

// Done ends a claim. If a received delta could not be applied, the next request
// is for the full document.
func (f *Fetch) Done(applied bool) {
	f.pendingUntil = time.Time{}
	f.requestFull = !applied
}

// Base returns the hash of the base to send with a request for a document newer
// than current. It is 0 if the full document is to be requested.
func (f *Fetch) Base(current Document) uint64 {
	if f.requestFull {
		return 0
	}
	return current.Hash()
}

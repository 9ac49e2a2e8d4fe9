// Package platform is a client of the platform's HTTP protocol: a key-value service with
// compare-and-swap, leases and watches, and the list of VMs.
//
//	GET  /kv/<key>                         200 value, header X-Revision; 404 with the store revision
//	     with If-None-Match: "D"           304 with X-Revision if D is the SHA-256 digest of the value, in hexadecimal
//	PUT  /kv/<key>?previous=N[&lease=ID]   200 {"revision":M}; 409 {"revision":present}; previous=0 creates
//	GET  /watch?key=K&after=N&wait_ms=T    200 value and X-Revision once the key's revision differs from N; 204 after T
//	GET  /list?prefix=P                    200 {"keys":[{"key":K,"revision":N}]}
//	POST /leases?ttl_ms=T                  200 {"id":ID}; PUT /leases/<id> keeps it alive (404 if expired); DELETE /leases/<id>
//	GET  /vms?after=N&wait_ms=T            200 {"revision":N,"vms":[...]}; 204 after T if nothing is newer
//
// Answers with a value or the VM list are compressed for callers that accept gzip. The
// answer to any call may be 429 (rate limit, header Retry-After in seconds) or 503
// (outage). An answer may be lost after the write was applied. Every answer has the header
// X-Store-Revision, the newest revision of the store.
package platform

import "github.com/zinniaseam/zinniaseam/core"

// Headers of the protocol.
const (
	// HeaderRevision is the modification revision of the returned key.
	HeaderRevision = "X-Revision"
	// HeaderStoreRevision is the newest revision of the store.
	HeaderStoreRevision = "X-Store-Revision"
)

// EntityTag returns the entity tag of the value with the digest.
func EntityTag(digest core.Digest) string { return `"` + digest.String() + `"` }

// MaxValueBytes bounds the size of a value of the key-value service.
const MaxValueBytes = 1 << 20

// RevisionReply is the JSON body of an answer to a write.
type RevisionReply struct {
	Revision uint64 `json:"revision"`
}

// LeaseReply is the JSON body of an answer to a lease call.
type LeaseReply struct {
	ID string `json:"id"`
}

// KeyRevision is one item of a list of keys.
type KeyRevision struct {
	Key      string `json:"key"`
	Revision uint64 `json:"revision"`
}

// ListReply is the JSON body of a list of keys.
type ListReply struct {
	Keys []KeyRevision `json:"keys"`
}

// VMListReply is the JSON body of the VM list.
type VMListReply struct {
	Revision uint64    `json:"revision"`
	VMs      []core.VM `json:"vms"`
}

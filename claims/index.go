package claims

import (
	"bytes"
	"slices"
)

// recentClaims holds the claims of the head in commit order.
type recentClaims struct {
	list  []claim
	index map[keyHash]int
}

func newRecentClaims() recentClaims { return recentClaims{index: map[keyHash]int{}} }

func (r *recentClaims) add(c claim) {
	r.index[c.key] = len(r.list)
	r.list = append(r.list, c)
}

// get returns the claim on key, or nil.
func (r *recentClaims) get(key keyHash) *claim {
	i, ok := r.index[key]
	if !ok {
		return nil
	}
	return &r.list[i]
}

// removeAll removes the matching claims.
func (r *recentClaims) removeAll(match func(claim) bool) {
	r.list = slices.DeleteFunc(r.list, match)
	clear(r.index)
	for i, c := range r.list {
		r.index[c.key] = i
	}
}

// trimAnswers removes all answers but those of the latest keep claims.
func (r *recentClaims) trimAnswers(keep int) {
	for i := range max(0, len(r.list)-keep) {
		r.list[i].answer = nil
	}
}

// sealedClaim is the in-memory form of a claim in a sealed segment.
type sealedClaim struct {
	key         keyHash
	fingerprint uint64
	keyTime     int64
}

// sealedClaims holds the content of the sealed segments, in the order of the head's
// segment list. Each segment is sorted by key.
type sealedClaims struct {
	segments [][]sealedClaim
	timed    int
	untimed  int
}

func (s *sealedClaims) add(list []claim) {
	segment := make([]sealedClaim, len(list))
	for i, c := range list {
		segment[i] = sealedClaim{key: c.key, fingerprint: c.fingerprint, keyTime: c.keyTime}
		s.count(c.keyTime, 1)
	}
	slices.SortFunc(segment, func(a, b sealedClaim) int { return bytes.Compare(a.key[:], b.key[:]) })
	s.segments = append(s.segments, segment)
}

// get returns the request fingerprint with which key was claimed.
func (s *sealedClaims) get(key keyHash) (fingerprint uint64, ok bool) {
	for _, segment := range s.segments {
		i, found := slices.BinarySearchFunc(segment, key, func(c sealedClaim, key keyHash) int {
			return bytes.Compare(c.key[:], key[:])
		})
		if found {
			return segment[i].fingerprint, true
		}
	}
	return 0, false
}

// claims returns the claims of the segment at index i.
func (s *sealedClaims) claims(i int) []claim {
	list := make([]claim, len(s.segments[i]))
	for j, c := range s.segments[i] {
		list[j] = claim{key: c.key, fingerprint: c.fingerprint, keyTime: c.keyTime}
	}
	return list
}

// remove removes the segment at index i.
func (s *sealedClaims) remove(i int) {
	for _, c := range s.segments[i] {
		s.count(c.keyTime, -1)
	}
	s.segments = slices.Delete(s.segments, i, i+1)
}

func (s *sealedClaims) count(keyTime int64, by int) {
	if keyTime != 0 {
		s.timed += by
		return
	}
	s.untimed += by
}

package activation

import (
	"context"
	"errors"
	"testing"

	. "github.com/onsi/gomega"
)

// memoryStore holds one record. With loseNext set, the response to the next write is
// lost.
type memoryStore struct {
	value    []byte
	revision uint64
	loseNext bool
}

var errLost = errors.New("platform: response lost")

func (s *memoryStore) Get(context.Context, string) ([]byte, uint64, error) {
	return s.value, s.revision, nil
}

func (s *memoryStore) CompareAndSwap(_ context.Context, _ string, value []byte, previous uint64) (uint64, bool, error) {
	if previous != s.revision {
		return s.revision, false, nil
	}
	s.value, s.revision = value, s.revision+1
	if s.loseNext {
		s.loseNext = false
		return 0, false, errLost
	}
	return s.revision, true, nil
}

func TestBlocksOfNumbersNeverOverlap(t *testing.T) {
	g := NewWithT(t)
	ctx, store := context.Background(), &memoryStore{loseNext: true}
	first := &Holder{VM: "vm", Incarnation: 1, Process: 11, Store: store}
	g.Expect(first.Allocate(ctx, 1)).To(Equal(NumbersFailed{}))
	g.Expect(first.Confirm(ctx)).To(Equal(HolderConfirmed{}))
	g.Expect(first.Allocate(ctx, 1)).To(Equal(NumbersGranted{First: 2 * BlockSize, Last: 3*BlockSize - 1}))
	second := &Holder{VM: "vm", Incarnation: 2, Process: 22, Store: store}
	g.Expect(second.Allocate(ctx, 1)).To(Equal(NumbersGranted{First: 3 * BlockSize, Last: 4*BlockSize - 1}))
	g.Expect(first.Confirm(ctx)).To(Equal(HolderConfirmed{Superseded: true}))
	g.Expect(first.Allocate(ctx, 1)).To(Equal(HolderConfirmed{Superseded: true}))
	g.Expect(second.Allocate(ctx, 1<<20)).To(Equal(NumbersGranted{First: 1 << 20, Last: 1<<20 + BlockSize - 1}))
}

func TestEqualStartNumbersTakeTurnsOnce(t *testing.T) {
	g := NewWithT(t)
	ctx, store := context.Background(), &memoryStore{}
	a := &Holder{VM: "vm", Incarnation: 1, Process: 11, Store: store}
	b := &Holder{VM: "vm", Incarnation: 1, Process: 22, Store: store}
	g.Expect(a.Allocate(ctx, 1)).To(BeAssignableToTypeOf(NumbersGranted{}))
	g.Expect(b.Allocate(ctx, 1)).To(BeAssignableToTypeOf(NumbersGranted{}))
	g.Expect(a.Confirm(ctx)).To(Equal(HolderConfirmed{Superseded: true}))
	g.Expect(b.Confirm(ctx)).To(Equal(HolderConfirmed{}))
}

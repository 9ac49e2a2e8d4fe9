package rollout_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/zinniaseam/zinniaseam/rollout"
)

// The last chunk of version 2 can no longer be had, since the origin has dropped the
// version. Version 8 counts as stalled only because it is not being staged.
func TestAStalledPreviousVersionGivesWayToTheNewest(t *testing.T) {
	previous := rollout.Pending{Version: 2, DeclaredAt: declared, ChosenAt: at(14.9), Share: 47.0 / 48, FirstChunkAt: at(1), LastChunkAt: at(4)}
	newest := rollout.Pending{Version: 8, DeclaredAt: at(13), ChosenAt: at(13.3), Share: 0.1, FirstChunkAt: at(13.5), LastChunkAt: at(13.9)}
	choice := rollout.Choice{Now: at(20), Limit: limit, Pending: []rollout.Pending{previous, newest}}
	NewWithT(t).Expect(choice.Stage()).To(BeEquivalentTo(8))
}

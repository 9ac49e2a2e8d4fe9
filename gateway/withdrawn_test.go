package gateway

import (
	"context"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/zinniaseam/zinniaseam/boottime"
	"github.com/zinniaseam/zinniaseam/fleet"
	"github.com/zinniaseam/zinniaseam/forward"
	"github.com/zinniaseam/zinniaseam/logging"
	"github.com/zinniaseam/zinniaseam/placement"
)

// The permit for an engine ended while the connection to it was opened. Nothing was sent, so
// that the call may run there once the permit is renewed.
func TestACallThatWasWithdrawnMayRunOnTheSameEngineLater(t *testing.T) {
	g := NewWithT(t)
	s, _ := lendingGateway(t, 2)
	ticket, decision := s.place(context.Background(), waitingCall())
	g.Expect(decision.Verdict).To(Equal(placement.Place))
	call := &session{
		gateway: &Gateway{scheduler: s, log: logging.Discard(), now: boottime.Now}, admitted: &admitted{call: &forward.Call{}}, ctx: context.Background(),
		tried: []fleet.EndpointID{decision.Endpoint.ID},
	}
	g.Expect(call.attemptFailed(ticket, decision, forward.ErrWithdrawn)).To(Equal(stepRetryApproved))
	g.Expect(call.tried).To(BeEmpty())
}

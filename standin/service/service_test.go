package service_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/zinniaseam/zinniaseam/standin/service"
)

func call(base, key string) (service.Reply, int, error) {
	request, _ := http.NewRequest("POST", base+"/orders?x=1", strings.NewReader("body"))
	request.Header.Set(service.HeaderKey, key)
	request.GetBody = nil
	var reply service.Reply
	response, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(request)
	if err != nil {
		return reply, 0, err
	}
	defer response.Body.Close()
	return reply, response.StatusCode, json.NewDecoder(response.Body).Decode(&reply)
}

func TestTheLedgerCountsEveryExecution(t *testing.T) {
	g := NewWithT(t)
	server := service.New(service.Config{})
	listener := httptest.NewServer(server)
	defer listener.Close()
	for want := 1; want <= 2; want++ {
		reply, status, err := call(listener.URL, "k")
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(status).To(Equal(200))
		g.Expect(reply.Execution).To(Equal(want))
		g.Expect(reply.Path).To(Equal("/orders?x=1"))
	}
	g.Expect(server.Ledger()).To(Equal(map[string]int{"k": 2}))
	g.Expect(server.Stats().Duplicates).To(Equal(1))
}

func TestDyingBeforeAndAfterTheEffect(t *testing.T) {
	g := NewWithT(t)
	server := service.New(service.Config{})
	listener := httptest.NewServer(server)
	defer listener.Close()
	server.SetFaults(service.Faults{DropBefore: 1})
	_, _, err := call(listener.URL, "before")
	g.Expect(err).To(HaveOccurred())
	server.SetFaults(service.Faults{DropAfter: 1})
	_, _, err = call(listener.URL, "after")
	g.Expect(err).To(HaveOccurred())
	g.Expect(server.Ledger()).To(Equal(map[string]int{"after": 1}))
}

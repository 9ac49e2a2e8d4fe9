package faulttest

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/zinniaseam/zinniaseam/catalogue"
	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/operatorapi"
	"github.com/zinniaseam/zinniaseam/timeline"
)

// buildZsctl builds the operator CLI once and returns its path.
var buildZsctl = sync.OnceValues(func() (string, error) {
	path := filepath.Join(binDir, "zsctl")
	output, err := exec.Command("go", "build", "-o", path, "../cmd/zsctl").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("%w: %s", err, output)
	}
	return path, nil
})

// zsctl runs the operator CLI against all entries.
func (c *cluster) zsctl(args ...string) (code int, out, errOut string) {
	c.t.Helper()
	path, err := buildZsctl()
	if err != nil {
		c.t.Fatal(err)
	}
	var entries []string
	for _, e := range c.entries {
		entries = append(entries, e.operator)
	}
	_, key, _ := strings.Cut(operatorKey, ":")
	var stdout, stderr bytes.Buffer
	cmd := exec.Command(path, args...)
	cmd.Env = append(os.Environ(), "ZINNIASEAM_ENTRIES="+strings.Join(entries, ","), "ZINNIASEAM_OPERATOR_KEY="+key)
	cmd.Stdout, cmd.Stderr = &stdout, &stderr
	var exit *exec.ExitError
	if err := cmd.Run(); err != nil && !errors.As(err, &exit) {
		c.t.Fatal(err)
	}
	return cmd.ProcessState.ExitCode(), stdout.String(), stderr.String()
}

// invalidSet is a configuration set with an invalid value in each of ten fields.
const invalidSet = `
zones:
- {name: a, region: ""}
- {name: b, region: r, state: closed}
models: [{name: assistant}]
versions: [{name: v1, model: poet, whole: "", sizeBytes: 0}]
pools: [{name: main, model: assistant, version: v9, zones: [z]}]
routes: [{name: nowhere}]
teams: [{name: ploughs, weight: 0}, {name: "two words", weight: 1}]
`

// invalidFields lists the objects and fields that are invalid in invalidSet.
var invalidFields = []string{
	"zone/a region", "zone/b state", "version/v1 model", "version/v1 whole", "version/v1 sizeBytes",
	"pool/main version", "pool/main zones", "route/nowhere pool", "team/ploughs weight", "team/two words name",
}

func TestZsctlNamesAllTenMistakesOfAFile(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	c := &cluster{t: t, dir: t.TempDir()}
	path := filepath.Join(c.dir, "set.yaml")
	g.Expect(os.WriteFile(path, []byte(invalidSet), 0o600)).To(Succeed())
	code, out, errOut := c.zsctl("validate", "-o", "json", "-f", path)
	g.Expect(code).To(Equal(1), "%s%s", out, errOut)
	var comparison operatorapi.Comparison
	g.Expect(json.Unmarshal([]byte(out), &comparison)).To(Succeed(), out)
	var reported []string
	for _, problem := range comparison.Problems {
		reported = append(reported, problem.Object+" "+problem.Field)
	}
	g.Expect(reported).To(ConsistOf(invalidFields))
	_, table, _ := c.zsctl("validate", "-f", path)
	for _, problem := range comparison.Problems {
		g.Expect(table).To(ContainSubstring(problem.Detail))
	}
}

func TestZsctlDrivesADeployment(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	c := threeZoneServices(t)
	path := filepath.Join(c.dir, "set.json")
	data, err := json.Marshal(withTeamWeight(c.set, 7))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(os.WriteFile(path, data, 0o600)).To(Succeed())
	code, out, errOut := c.zsctl("apply", "-f", path)
	g.Expect(code).To(Equal(0), "%s%s", out, errOut)
	g.Expect(weightOf(c.storedDocument())).To(Equal(7))
	code, _, errOut = c.zsctl("apply", "-base", "1", "-f", path)
	g.Expect(code).To(Equal(0), "repeated apply of the same file on the same base: %s", errOut)
	data, _ = json.Marshal(withTeamWeight(c.set, 8))
	g.Expect(os.WriteFile(path, data, 0o600)).To(Succeed())
	code, _, errOut = c.zsctl("apply", "-base", "1", "-f", path)
	g.Expect(code).To(Equal(1), errOut)
	code, out, _ = c.zsctl("get")
	g.Expect(code).To(Equal(0))
	set, err := catalogue.Parse([]byte(out))
	g.Expect(err).NotTo(HaveOccurred(), out)
	g.Expect(set.Teams[0].Weight).To(Equal(7))
	code, out, _ = c.zsctl("status", "-o", "json")
	g.Expect(code).To(Equal(0))
	var status operatorapi.Status
	g.Expect(json.Unmarshal([]byte(out), &status)).To(Succeed())
	g.Expect(status.Zones).To(HaveLen(3))
	g.Expect(status.Endpoints).To(HaveLen(3))
}

func TestTheTimelineOfOneRequestHasTheEventsOfBothProcesses(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	c := threeZoneServices(t)
	c.eventually(configLimit, "answer", func() bool {
		return call(c.entries[0], http.MethodPost, "desk", "/orders", "first").complete
	})
	const request = "request-of-the-timeline"
	a := call(c.entries[0], http.MethodPost, "desk", "/orders", "second", "X-Request-Id", request)
	g.Expect(a.complete).To(BeTrue(), "%+v", a)
	code, out, errOut := c.zsctl("timeline", "-request", request, "-o", "json")
	g.Expect(code).To(Equal(0), errOut)
	var found operatorapi.Timeline
	g.Expect(json.Unmarshal([]byte(out), &found)).To(Succeed())
	g.Expect(found.Missing).To(BeEmpty())
	kinds := map[timeline.Kind]core.VMID{}
	for _, event := range found.Events {
		g.Expect(event.Request).To(BeEquivalentTo(request))
		kinds[event.Kind] = event.Process
	}
	g.Expect(kinds).To(HaveKeyWithValue(timeline.KindRoute, c.entries[0].vm.ID))
	g.Expect(kinds).To(HaveKeyWithValue(timeline.KindAnswer, c.entries[0].vm.ID))
	g.Expect(string(kinds[timeline.KindClaim])).To(HavePrefix("endpoint-"), "%+v", found.Events)
}

// operatorRequest sends a request to the operator listener of an entry.
func operatorRequest(t *testing.T, e *entryVM, method, path, key string, body io.Reader) (int, string) {
	t.Helper()
	return operatorRequestVia(t, client, e, method, path, key, body)
}

// clientFromIP returns a client that connects from the source address ip.
func clientFromIP(ip string) *http.Client {
	dialer := &net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(ip)}}
	return &http.Client{Timeout: client.Timeout, Transport: &http.Transport{DialContext: dialer.DialContext}}
}

// operatorRequestVia is like operatorRequest, but sends through the given client.
func operatorRequestVia(t *testing.T, client *http.Client, e *entryVM, method, path, key string, body io.Reader) (int, string) {
	t.Helper()
	request, err := http.NewRequest(method, "http://"+e.operator+path, body)
	if err != nil {
		t.Fatal(err)
	}
	if key != "" {
		request.Header.Set("Authorization", key)
	}
	response, err := client.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	text, _ := io.ReadAll(response.Body)
	return response.StatusCode, string(text)
}

// Guards against an operator listener that accepts a wrong key, unlimited guessing,
// oversized or malformed bodies or unknown routes, or that logs the key.
func TestTheOperatorsListenerLetsNoOneIn(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	c := newCluster(t)
	e := c.addEntry("a")
	c.eventually(configLimit, "listener", func() bool { code, _ := c.getOperator(e, "/healthz"); return code == http.StatusOK })
	_, secret, _ := strings.Cut(operatorKey, ":")
	wrong := []string{"", "Bearer", "Bearer ", "Bearer wrong", "Bearer " + secret + "x", "Bearer " + secret[1:], secret, "Basic " + secret}
	paths := map[string]string{
		"/v1/config": "GET", "/v1/status": "GET", "/v1/timeline": "GET", "/debug/vars": "GET",
		"/v1/config/apply": "POST", "/v1/config/validate": "POST", "/v1/config/diff": "POST",
		"/v1/zones/a/out": "POST", "/v1/zones/a/out?volatile=true": "POST", "/v1/zones/a/in": "POST",
	}
	for path, method := range paths {
		// Wrong keys are rate limited by IP address, so each path uses an address of
		// its own.
		unauthorizedClient := clientFromIP(newIP())
		for _, key := range wrong {
			code, text := operatorRequestVia(t, unauthorizedClient, e, method, path, key, nil)
			g.Expect(code).To(Equal(http.StatusUnauthorized), "%s %s with %q: %s", method, path, key, text)
			requireErrorBody(g, text)
		}
	}
	guessingClient := clientFromIP(newIP())
	for range 40 {
		operatorRequestVia(t, guessingClient, e, "GET", "/v1/config", wrong[3], nil)
	}
	code, text := operatorRequestVia(t, guessingClient, e, "GET", "/v1/config", wrong[3], nil)
	g.Expect(code).To(Equal(http.StatusTooManyRequests), text)
	requireErrorBody(g, text)
	authorized := "Bearer " + secret
	large := strings.Repeat("#", catalogue.MaxFileBytes+1)
	for _, path := range []string{"/v1/config/apply", "/v1/config/validate", "/v1/config/diff"} {
		code, text := operatorRequest(t, e, "POST", path, authorized, strings.NewReader(large))
		g.Expect(code).To(Equal(http.StatusRequestEntityTooLarge), text)
		requireErrorBody(g, text)
		code, text = operatorRequest(t, e, "POST", path, authorized, strings.NewReader("zones: ["))
		g.Expect(code).To(Equal(http.StatusBadRequest), text)
		requireErrorBody(g, text)
	}
	for _, path := range []string{"/", "/v1", "/v1/nothing", "/v1/zones/a/sideways", "/admin/faults", "/v1/chat/completions"} {
		code, text := operatorRequest(t, e, "GET", path, authorized, nil)
		g.Expect(code).To(Or(Equal(http.StatusNotFound), Equal(http.StatusMethodNotAllowed)), "%s: %s", path, text)
		requireErrorBody(g, text)
	}
	code, text = operatorRequest(t, e, "DELETE", "/v1/config", authorized, nil)
	g.Expect(code).To(Equal(http.StatusMethodNotAllowed), text)
	requireErrorBody(g, text)
	log, err := os.ReadFile(e.proc.log)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(log)).NotTo(ContainSubstring(secret))
}

// requireErrorBody checks that a rejected request has a typed error body.
func requireErrorBody(g *WithT, text string) {
	var body operatorapi.ErrorBody
	g.Expect(json.Unmarshal([]byte(text), &body)).To(Succeed(), "%q", text)
	g.Expect(body.Error).NotTo(BeEmpty())
	g.Expect(body.Detail).NotTo(BeEmpty())
}

package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"time"

	"github.com/zinniaseam/zinniaseam/catalogue"
	"github.com/zinniaseam/zinniaseam/configsync"
	"github.com/zinniaseam/zinniaseam/operatorapi"
)

func (a *app) client() (*client, error) { return newClient(a.entries, a.getenv(envKey), a.ca) }

// readFile reads the file given by -f or by the only argument; "-" is standard
// input. Errors carry exit code exitUsage.
func (a *app) readFile(args []string) ([]byte, error) {
	name := a.file
	if name == "" && len(args) == 1 {
		name = args[0]
	}
	if name == "" || (a.file != "" && len(args) > 0) || len(args) > 1 {
		return nil, usageError("want one file: -f FILE")
	}
	reader := a.in
	if name != "-" {
		file, err := os.Open(name)
		if err != nil {
			return nil, failed(exitUsage, err)
		}
		defer file.Close()
		reader = file
	}
	data, err := io.ReadAll(io.LimitReader(reader, catalogue.MaxFileBytes+1))
	if err != nil {
		return nil, failed(exitUsage, err)
	}
	return data, nil
}

func (a *app) validate(_ context.Context, args []string) error {
	data, err := a.readFile(args)
	if err != nil {
		return err
	}
	set, err := catalogue.Parse(data)
	if err != nil {
		return failed(exitRejected, err)
	}
	comparison := operatorapi.Comparison{Problems: catalogue.Validate(set)}
	if err := a.print(comparison, func() { a.printProblems(comparison.Problems) }); err != nil {
		return err
	}
	return problemsError(comparison.Problems)
}

func problemsError(problems catalogue.Problems) error {
	if len(problems) == 0 {
		return nil
	}
	return failed(exitRejected, fmt.Errorf("%d problems; nothing was published", len(problems)))
}

// fileAndClient reads the operators' file and returns it with a client.
func (a *app) fileAndClient(args []string) ([]byte, *client, error) {
	data, err := a.readFile(args)
	if err != nil {
		return nil, nil, err
	}
	c, err := a.client()
	return data, c, err
}

func (a *app) diff(ctx context.Context, args []string) error {
	data, c, err := a.fileAndClient(args)
	if err != nil {
		return err
	}
	var comparison operatorapi.Comparison
	if err := c.callJSON(ctx, http.MethodPost, "/v1/config/diff", nil, data, &comparison); err != nil {
		return err
	}
	if err := a.print(comparison, func() { a.printComparison(comparison) }); err != nil {
		return err
	}
	return problemsError(comparison.Problems)
}

func (c *client) callJSON(ctx context.Context, method, path string, query url.Values, body []byte, into any) error {
	response, err := c.call(ctx, method, path, query, body)
	if err != nil {
		return err
	}
	return response.decode(into)
}

func (a *app) apply(ctx context.Context, args []string) error {
	data, c, err := a.fileAndClient(args)
	if err != nil {
		return err
	}
	base, err := a.chooseBase(ctx, c)
	if err != nil {
		return err
	}
	var outcome configsync.Outcome
	query := url.Values{"base": {strconv.FormatUint(base, 10)}}
	if err := c.callJSON(ctx, http.MethodPost, "/v1/config/apply", query, data, &outcome); err != nil {
		return err
	}
	if err := a.print(outcome, func() { a.printOutcome(outcome) }); err != nil {
		return err
	}
	return withBaseHint(outcomeError(outcome), base)
}

// withBaseHint adds the base revision to the error of an outcome that is not known yet,
// so that the operator can retry the same publish.
func withBaseHint(err error, base uint64) error {
	if exitCode(err) != exitUnknown {
		return err
	}
	return failed(exitUnknown, fmt.Errorf("%w (-base %d)", err, base))
}

// chooseBase returns the value of -base, or else the active revision. The base is
// fixed before the publish, so that a retry at another entry is the same publish.
func (a *app) chooseBase(ctx context.Context, c *client) (uint64, error) {
	if a.base >= 0 {
		return uint64(a.base), nil
	}
	doc, err := c.document(ctx)
	return doc.Revision, err
}

// document returns the active document, or a zero document before the first publish.
func (c *client) document(ctx context.Context) (configsync.Document, error) {
	var doc configsync.Document
	response, err := c.call(ctx, http.MethodGet, "/v1/config", nil, nil)
	if response.status == http.StatusNotFound {
		return doc, nil
	}
	if err != nil {
		return doc, err
	}
	return doc, response.decode(&doc)
}

func (a *app) get(ctx context.Context, _ []string) error {
	c, err := a.client()
	if err != nil {
		return err
	}
	doc, err := c.document(ctx)
	if err != nil {
		return err
	}
	if doc.Revision == 0 {
		return failed(exitRejected, errors.New("nothing is published yet"))
	}
	return a.printDocument(doc)
}

func (a *app) setZone(ctx context.Context, state string, args []string) error {
	if len(args) != 1 {
		return usageError("want one availability zone; flags go before it")
	}
	c, err := a.client()
	if err != nil {
		return err
	}
	var result operatorapi.ZoneResult
	query := url.Values{}
	if a.volatile {
		query.Set("volatile", "true")
	}
	if err := c.callJSON(ctx, http.MethodPost, "/v1/zones/"+url.PathEscape(args[0])+"/"+state, query, nil, &result); err != nil {
		return err
	}
	if err := a.print(result, func() { a.printOutcome(result.Outcome) }); err != nil {
		return err
	}
	if result.Provisional != nil {
		return failed(exitProvisional, errors.New(configsync.ProvisionalText))
	}
	return outcomeError(result.Outcome)
}

func (a *app) status(ctx context.Context, _ []string) error {
	c, err := a.client()
	if err != nil {
		return err
	}
	if a.interval <= 0 {
		return usageError("-interval: want more than 0")
	}
	for {
		var status operatorapi.Status
		err := c.callJSON(ctx, http.MethodGet, "/v1/status", nil, nil, &status)
		if err == nil {
			err = a.print(status, func() { a.printStatus(status) })
		}
		if !a.watch {
			return err
		}
		if err != nil && ctx.Err() == nil {
			fmt.Fprintf(a.errOut, "zsctl: %v\n", err)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(a.interval):
			fmt.Fprintln(a.out)
		}
	}
}

func (a *app) timeline(ctx context.Context, _ []string) error {
	c, err := a.client()
	if err != nil {
		return err
	}
	query := url.Values{"limit": {strconv.Itoa(a.filter.limit)}}
	for name, value := range map[string]string{
		"request": a.filter.request, "object": a.filter.object, "zone": a.filter.zone, "kind": a.filter.kind, "since": a.filter.since,
	} {
		if value != "" {
			query.Set(name, value)
		}
	}
	var response operatorapi.Timeline
	if err := c.callJSON(ctx, http.MethodGet, "/v1/timeline", query, nil, &response); err != nil {
		return err
	}
	return a.print(response, func() { a.printTimeline(response) })
}

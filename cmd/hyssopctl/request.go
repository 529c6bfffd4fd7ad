package main

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"hyssopcroft.example/adapter/caller"
	"hyssopcroft.example/adapter/problem"
)

type searchCmd struct {
	Plan     string        `required:"" help:"Plan that the search runs under."`
	Index    string        `required:"" help:"Index to search."`
	Limit    int           `default:"10" help:"Largest number of hits."`
	Deadline time.Duration `help:"Shortens the deadline of the plan, for example 100ms."`
	Query    []string      `arg:"" help:"Words that every hit contains."`
}

// Help implements kong.HelpProvider.
func (searchCmd) Help() string {
	return `Examples:

    hyssopctl search --plan counter --index returns-counter washed jars

    hyssopctl --json search --plan counter --index returns-counter --deadline 50ms washed jars`
}

// Run prints the hits and the coverage of one search.
func (s searchCmd) Run(c *cli) error {
	in := caller.SearchRequest{
		Plan: s.Plan, Index: s.Index, Query: strings.Join(s.Query, " "), Limit: s.Limit,
		DeadlineMillis: int(s.Deadline.Milliseconds()),
	}
	var result caller.SearchResult
	start := time.Now()
	if err := call(http.MethodPost, c.Instance, "/v1/search", nil, in, &result); err != nil {
		return err
	}
	if c.JSON {
		return printJSON(result)
	}
	printResult(result, time.Since(start))
	return nil
}

func printResult(r caller.SearchResult, took time.Duration) {
	for _, h := range r.Hits {
		fmt.Printf("%8.4f  %-28s %s\n", h.Score, h.ID, h.Text)
	}
	fmt.Printf("request %s at %s: %d hits at snapshot %d in %s, %d of %d shards\n",
		r.Request, r.Instance, len(r.Hits), r.Snapshot, took.Round(100*time.Microsecond),
		len(r.Coverage.Included), len(r.Coverage.Included)+len(r.Coverage.Missing))
	for _, m := range r.Coverage.Missing {
		fmt.Printf("  shard %d is missing: %s\n", m.Shard, m.Cause)
	}
}

type executeCmd struct {
	Plan  string `required:"" help:"Plan that the request runs under."`
	Index string `required:"" help:"Index whose targets run the request."`
	Key   string `help:"Key of an earlier submission, to learn its outcome; a new one is made if it is absent."`
	Body  string `arg:"" help:"Body of the request; - reads standard input."`
}

// Help implements kong.HelpProvider.
func (executeCmd) Help() string {
	return `A request runs at most once for each key, however often it is sent. The key is printed before the
request is sent; send it again with --key to learn an outcome that was lost.

Examples:

    hyssopctl execute --plan counter --index returns-counter "credit 2"

    hyssopctl execute --plan counter --index returns-counter --key 1700000000000-a1 "credit 2"`
}

// Run sends one request that runs at most once for its key.
func (e executeCmd) Run(c *cli) error {
	body, err := e.readBody()
	if err != nil {
		return err
	}
	in := caller.ExecuteRequest{Plan: e.Plan, Index: e.Index, Key: e.Key, Body: body, FirstSubmission: e.Key == ""}
	if in.Key == "" {
		in.Key = strconv.FormatInt(time.Now().UnixMilli(), 10) + "-" + uuid.NewString()
	}
	fmt.Fprintf(os.Stderr, "key %s\n", in.Key)
	var result caller.ExecuteResult
	if err := call(http.MethodPost, c.Instance, "/v1/execute", nil, in, &result); err != nil {
		return withResendHint(err, in.Key)
	}
	if c.JSON {
		return printJSON(result)
	}
	fmt.Printf("%s: %s (from an earlier submission: %t)\n", result.Instance, result.Result, result.Repeated)
	return nil
}

func (e executeCmd) readBody() (string, error) {
	if e.Body != "-" {
		return e.Body, nil
	}
	raw, err := readInput("-")
	return string(raw), err
}

// withResendHint adds to an error after which the request may have run the flag that retrieves the outcome.
func withResendHint(err error, key string) error {
	var p *problem.Problem
	if !errors.As(err, &p) || p.RunState != problem.MayHaveRun {
		return err
	}
	advised := *p
	advised.Message += "; send it again with --key " + key + " to learn its outcome"
	return &advised
}

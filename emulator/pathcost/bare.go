package pathcost

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"hyssopcroft.example/adapter/target"
	"hyssopcroft.example/adapter/wire/targetpb"
	"hyssopcroft.example/query"
)

// bareScatter sends a search to all targets of an index with net/http alone: no selection of replicas, no
// matching of replies, no merge and no coverage. It is the baseline for the cost of the whole path.
type bareScatter struct {
	http    *http.Client
	targets []query.Target
}

func newBareScatter(targets []query.Target) *bareScatter {
	return &bareScatter{http: &http.Client{Transport: target.NewTransport(time.Second, time.Second)}, targets: targets}
}

func (b *bareScatter) close() { b.http.CloseIdleConnections() }

// search fails unless every target answers.
func (b *bareScatter) search(ctx context.Context, text string, limit int) error {
	ctx, cancel := context.WithTimeout(ctx, searchDeadline)
	defer cancel()
	results := make(chan error, len(b.targets))
	for i := range b.targets {
		go func() { results <- b.searchTarget(ctx, &b.targets[i], text, limit) }()
	}
	var firstErr error
	for range b.targets {
		if err := <-results; err != nil && firstErr == nil {
			firstErr = err
		}
	}
	return firstErr
}

func (b *bareScatter) searchTarget(ctx context.Context, t *query.Target, text string, limit int) error {
	body, err := proto.Marshal(&targetpb.SearchRequest{
		RequestId: 1, AttemptId: 1, Index: t.Index, Shard: uint32(t.Shards[0]), Snapshot: 1,
		Query: text, Limit: uint32(limit), TimeLeftUs: uint32(searchDeadline.Microseconds()),
	})
	if err != nil {
		return errors.Wrap(err, "encode request")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+t.Address+target.PathSearch, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "build request")
	}
	resp, err := b.http.Do(req)
	if err != nil {
		return errors.Wrap(err, "call target")
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return errors.Wrap(err, "read response")
	}
	var out targetpb.SearchResponse
	if err := proto.Unmarshal(raw, &out); err != nil {
		return errors.Wrap(err, "decode response")
	}
	if out.Outcome != targetpb.Outcome_OUTCOME_ANSWERED {
		return errors.Errorf("target %s: %s", t.ID, out.Outcome)
	}
	return nil
}

package target

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/pkg/errors"

	"hyssopcroft.example/query"
)

const (
	// PathInfo is the path of a target's own account of its health and load.
	PathInfo = "/v1/info"
	// maxInfoBytes bounds what is read of that account.
	maxInfoBytes = 64 << 10
)

// Info is what a target says of itself. It lags and can be wrong, so that no decision on the query
// path uses it.
type Info struct {
	Target   query.TargetID `json:"target"`
	Healthy  bool           `json:"healthy"`
	Draining bool           `json:"draining"`
	Cold     bool           `json:"cold"`
	// Load is the number of requests that run or wait for each slot.
	Load float64 `json:"load"`
	// Held lists the snapshots that the target holds, in ascending order.
	Held []query.Version `json:"held"`
}

// Info asks the target at an address for its account of itself.
func (c *Client) Info(ctx context.Context, address string) (Info, error) {
	var info Info
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+PathInfo, nil)
	if err != nil {
		return info, errors.Wrap(err, "build info request")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return info, errors.Wrap(err, "ask target for info")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return info, errors.Errorf("info of target %s has status %d", address, resp.StatusCode)
	}
	err = json.NewDecoder(io.LimitReader(resp.Body, maxInfoBytes)).Decode(&info)
	return info, errors.Wrap(err, "decode info of target")
}

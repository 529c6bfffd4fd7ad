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
	// PathInfo is the URL path at which a target reports its health and load.
	PathInfo = "/v1/info"
	// maxInfoBytes is the maximum size of an info response that is read.
	maxInfoBytes = 64 << 10
)

// Info is the state that a target reports about itself. It can be stale or wrong, so the query path must
// not depend on it.
type Info struct {
	Target   query.TargetID `json:"target"`
	Healthy  bool           `json:"healthy"`
	Draining bool           `json:"draining"`
	Cold     bool           `json:"cold"`
	// Load is the number of running and waiting requests per slot.
	Load float64 `json:"load"`
	// HeldVersions lists the snapshots on the target, in ascending order.
	HeldVersions []query.Version `json:"held"`
}

// Info requests the self-reported state of the target at an address.
func (c *Client) Info(ctx context.Context, address string) (Info, error) {
	var info Info
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+PathInfo, nil)
	if err != nil {
		return info, errors.Wrap(err, "build info request")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return info, errors.Wrap(err, "request target info")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return info, errors.Errorf("info response of target %s has status %d", address, resp.StatusCode)
	}
	err = json.NewDecoder(io.LimitReader(resp.Body, maxInfoBytes)).Decode(&info)
	return info, errors.Wrap(err, "decode target info")
}

package target

import (
	"context"
	"io"
	"net/http"

	"github.com/pkg/errors"
)

// pathInfo is the path of the call that describes a target.
const pathInfo = "/v1/info"

// Connect opens the connection to a target ahead of the first query by a call that runs nothing. Any
// answer of the target counts as success.
func (c *Client) Connect(ctx context.Context, address string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+pathInfo, nil)
	if err != nil {
		return errors.Wrap(err, "build info request")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return errors.Wrap(err, "connect to target")
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, io.LimitReader(resp.Body, maxResponseBytes))
	return errors.Wrap(err, "read info")
}

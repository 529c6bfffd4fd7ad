package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/pkg/errors"
)

// callTimeout is the timeout of a call. For a watch it is added to the waiting time.
const callTimeout = 2 * time.Second

// Purpose is the reason for a call. The load on the object store is counted by purpose.
type Purpose string

// Client is a client of the object API. It is safe for concurrent use.
type Client struct {
	base string
	http *http.Client
	// onCall is called once per call with the purpose of the call.
	onCall func(Purpose)
}

// NewClient returns a client of the API at the base URL, for example "http://127.0.0.1:7000".
// onCall is called once per call and may be nil.
func NewClient(base string, transport http.RoundTripper, onCall func(Purpose)) *Client {
	if onCall == nil {
		onCall = func(Purpose) {}
	}
	return &Client{base: base, http: &http.Client{Transport: transport}, onCall: onCall}
}

// Get returns an object. It fails with ErrNotFound or ErrUnavailable.
func (c *Client) Get(ctx context.Context, p Purpose, kind, name string) (Object, error) {
	var obj Object
	err := c.doWithTimeout(ctx, p, http.MethodGet, objectPath(kind, name), nil, nil, &obj)
	return obj, err
}

// Put writes an object if its current version equals expected; an expected version of 0 means that the object
// must not exist. With a ttl above 0, the object expires after that time. Put fails with a *ConflictError if
// nothing was written, or with ErrUnavailable if the write may or may not have taken effect.
func (c *Client) Put(ctx context.Context, p Purpose, obj Object, expected Version, ttl time.Duration) (Version, error) {
	header := http.Header{HeaderIfVersion: {strconv.FormatUint(uint64(expected), 10)}}
	if ttl > 0 {
		header.Set(HeaderTTL, strconv.FormatInt(ttl.Milliseconds(), 10))
	}
	var written Object
	err := c.doWithTimeout(ctx, p, http.MethodPut, objectPath(obj.Kind, obj.Name), header, obj.Data, &written)
	return written.Version, withExpected(err, expected)
}

// Delete removes an object if its current version equals expected. It fails with the same errors as Put.
func (c *Client) Delete(ctx context.Context, p Purpose, kind, name string, expected Version) error {
	header := http.Header{HeaderIfVersion: {strconv.FormatUint(uint64(expected), 10)}}
	err := c.doWithTimeout(ctx, p, http.MethodDelete, objectPath(kind, name), header, nil, nil)
	return withExpected(err, expected)
}

// Watch returns the objects of a kind that changed after a revision. It waits up to wait for the first change.
// With revision 0 it returns all objects immediately.
func (c *Client) Watch(ctx context.Context, p Purpose, kind string, after Version, wait time.Duration) (Changes, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	path := fmt.Sprintf("/v1/watch/%s?after=%d&wait_ms=%d", url.PathEscape(kind), after, wait.Milliseconds())
	var changes Changes
	err := c.do(ctx, p, http.MethodGet, path, nil, nil, &changes)
	return changes, err
}

// Instances returns the platform's list of instances, which can be stale.
func (c *Client) Instances(ctx context.Context, p Purpose) ([]Instance, error) {
	var list []Instance
	err := c.doWithTimeout(ctx, p, http.MethodGet, "/v1/instances", nil, nil, &list)
	return list, err
}

func objectPath(kind, name string) string {
	return "/v1/objects/" + url.PathEscape(kind) + "/" + url.PathEscape(name)
}

func withExpected(err error, expected Version) error {
	var conflict *ConflictError
	if errors.As(err, &conflict) {
		conflict.Expected = expected
	}
	return err
}

func (c *Client) doWithTimeout(
	ctx context.Context, p Purpose, method, path string, header http.Header, body []byte, out any,
) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return c.do(ctx, p, method, path, header, body, out)
}

func (c *Client) do(ctx context.Context, p Purpose, method, path string, header http.Header, body []byte, out any) error {
	c.onCall(p)
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "build platform request")
	}
	if header != nil {
		req.Header = header
	}
	req.Header.Set(HeaderPurpose, string(p))
	resp, err := c.http.Do(req)
	if err != nil {
		return errors.Wrapf(ErrUnavailable, "%s %s: %v", method, path, err)
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, 64*MaxValueBytes))
	if err != nil {
		return errors.Wrapf(ErrUnavailable, "%s %s: %v", method, path, err)
	}
	return decodeResponse(resp.StatusCode, raw, method, path, out)
}

func decodeResponse(status int, raw []byte, method, path string, out any) error {
	switch {
	case status == http.StatusNotFound:
		return errors.Wrap(ErrNotFound, path)
	case status == http.StatusConflict:
		var current Object
		if err := json.Unmarshal(raw, &current); err != nil {
			return errors.Wrapf(ErrUnavailable, "%s %s: bad conflict body: %v", method, path, err)
		}
		return &ConflictError{Kind: current.Kind, Name: current.Name, Actual: current.Version}
	case status >= http.StatusBadRequest && status < http.StatusInternalServerError:
		return errors.Errorf("%s %s: status %d: %s", method, path, status, raw)
	case status < http.StatusOK || status >= http.StatusMultipleChoices:
		return errors.Wrapf(ErrUnavailable, "%s %s: status %d", method, path, status)
	case out == nil:
		return nil
	}
	if err := json.Unmarshal(raw, out); err != nil {
		return errors.Wrapf(ErrUnavailable, "%s %s: bad body: %v", method, path, err)
	}
	return nil
}
